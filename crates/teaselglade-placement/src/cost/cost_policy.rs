//! Least expected cost among the servers that are predicted to meet the targets.

use std::collections::{HashMap, HashSet};

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

use super::server_forecast::{ServerForecast, TargetAllowance};
use super::{CostOptions, PrefixIndex, ReclaimModel, SpeedModel, SpeedSample};
use crate::baseline::no_server_refusal;
use crate::policy::{
    LatencyForecast, Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result,
};
use crate::server::{ServerDirectory, ServerEntry};

const SECONDS_PER_HOUR: f64 = 3_600.0;
const MICROS_PER_SECOND: f64 = 1e6;
const NETWORK_SECONDS: f64 = 0.002;
/// Part of the idle span that the request which wakes a server is charged with.
const WAKE_SHARE: f64 = 0.5;
const UNIT_CENTS_PER_HOUR: f64 = 50.0;

#[derive(Debug, Clone, Copy)]
struct OpenAttempt {
    server: ServerKey,
    marked_tokens: u32,
    waiting_tokens: f64,
}

/// Least expected cost among the servers that are predicted to meet the targets.
///
/// Cost is the price of the request's share of a server, so that a server which runs others
/// already is cheaper than one that would have to be held for this request alone. To it comes
/// the expected loss by a reclaim, weighed as the organisation's row says.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::cost::{CostOptions, CostPolicy};
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let policy = CostPolicy::new(CostOptions { entry_hosts: 8, ..CostOptions::default() });
/// let placement = ServerPlacer::new(Box::new(policy));
/// assert!(placement.directory().is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct CostPolicy {
    options: CostOptions,
    speeds: SpeedModel,
    prefixes: PrefixIndex,
    reclaims: ReclaimModel,
    attempts: HashMap<AttemptId, OpenAttempt>,
    noticed: HashSet<ServerKey>,
    waiting_tokens: Vec<f64>,
    cached: Vec<u32>,
    forecasts: Vec<ServerForecast>,
}

impl CostPolicy {
    /// Makes a policy that knows nothing yet.
    #[must_use]
    pub fn new(options: CostOptions) -> Self {
        Self {
            options,
            speeds: SpeedModel::default(),
            prefixes: PrefixIndex::default(),
            reclaims: ReclaimModel::default(),
            attempts: HashMap::new(),
            noticed: HashSet::new(),
            waiting_tokens: Vec::new(),
            cached: Vec::new(),
            forecasts: Vec::new(),
        }
    }

    fn forecast_all(&mut self, directory: &ServerDirectory, query: &PlacementQuery) {
        self.cached.clear();
        self.cached.resize(directory.len(), 0);
        if self.options.use_prefixes {
            self.prefixes.cached_tokens(&query.prefix, &mut self.cached);
        }
        let allowance = TargetAllowance::new(query, &self.options);
        let mut forecasts = std::mem::take(&mut self.forecasts);
        forecasts.clear();
        let servers = directory.live(query.service).iter();
        let allowed = servers
            .map(|server| (*server, directory.entry(*server)))
            .filter(|(server, entry)| query.allows(*server, entry));
        forecasts
            .extend(allowed.map(|(server, entry)| self.forecast(server, entry, query, allowance)));
        self.forecasts = forecasts;
    }

    fn forecast(
        &self,
        server: ServerKey,
        entry: &ServerEntry,
        query: &PlacementQuery,
        allowance: TargetAllowance,
    ) -> ServerForecast {
        let class = entry.attributes.class;
        let running = self.running(entry);
        let gap = self.speeds.gap_seconds(server, class, running + 1.0);
        let prefill = self.speeds.prefill_seconds(server, class, running);
        let prompt = f64::from(query.prompt_tokens);
        let known = f64::from(self.cached[server.index()]).min(prompt);
        let cached = known * self.prefixes.trust(server);
        let prefill_seconds = (prompt - cached) * prefill;
        let wait_seconds = self.waiting(server) * prefill;
        let answer_seconds = f64::from(query.answer_tokens) * gap;
        let run_seconds = wait_seconds + prefill_seconds + answer_seconds;
        let first_token_seconds = wait_seconds + prefill_seconds + gap + NETWORK_SECONDS;
        ServerForecast {
            server,
            cached_tokens: cached,
            first_token_seconds,
            gap_seconds: gap,
            target_use: allowance.used(first_token_seconds, gap),
            cents: self.cents(entry, running, prefill_seconds + answer_seconds),
            lost_tokens: self.lost_tokens(entry, query, run_seconds),
        }
    }

    fn running(&self, entry: &ServerEntry) -> f64 {
        let others = f64::from(self.options.entry_hosts.max(1) - 1);
        f64::from(entry.load.requests()) + f64::from(entry.load.recent_starts()) * others
    }

    /// Returns the prompt tokens that wait on a server, if the other entry hosts sent as many.
    fn waiting(&self, server: ServerKey) -> f64 {
        let own = self.waiting_tokens.get(server.index());
        own.copied().unwrap_or_default() * f64::from(self.options.entry_hosts.max(1))
    }

    fn cents(&self, entry: &ServerEntry, running: f64, seconds: f64) -> f64 {
        let price = if self.options.use_prices {
            entry.attributes.cents_per_hour
        } else {
            UNIT_CENTS_PER_HOUR
        };
        let idle = self.options.idle_span.as_secs_f64() * WAKE_SHARE;
        let held = seconds + if running < 0.5 { idle } else { 0.0 };
        price / SECONDS_PER_HOUR * held / (running + 1.0)
    }

    fn lost_tokens(&self, entry: &ServerEntry, query: &PlacementQuery, seconds: f64) -> f64 {
        if !self.options.use_reclaims || !entry.attributes.reclaimable {
            return 0.0;
        }
        let tokens = f64::from(query.prompt_tokens) + f64::from(query.answer_tokens) / 2.0;
        self.reclaims.probability(entry.attributes.zone, seconds) * tokens
    }

    fn choose(&self, query: &PlacementQuery) -> Option<Placement> {
        let timely = || {
            let forecasts = self.forecasts.iter();
            forecasts.filter(|forecast| !self.options.use_targets || forecast.target_use <= 1.0)
        };
        let cheapest = timely()
            .map(|forecast| forecast.cents)
            .fold(f64::INFINITY, f64::min);
        let cost_weight = query.cost_weight / cheapest.max(f64::MIN_POSITIVE);
        let tokens = f64::from(query.prompt_tokens + query.answer_tokens).max(1.0);
        let loss_weight = (1.0 - query.cost_weight) * self.options.loss_weight / tokens;
        let score = |forecast: &ServerForecast| {
            cost_weight * forecast.cents + loss_weight * forecast.lost_tokens
        };
        let best = timely().min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|forecast| forecast.placement(LatencyForecast::OnTarget))
    }

    fn least_late(&self, directory: &ServerDirectory, query: &PlacementQuery) -> Option<Placement> {
        let forecasts = self.forecasts.iter();
        let least = forecasts.min_by(|a, b| a.target_use.total_cmp(&b.target_use))?;
        let allowance = TargetAllowance::new(query, &self.options);
        let is_possible = self.forecasts.iter().any(|forecast| {
            let entry = directory.entry(forecast.server);
            !allowance.is_first_late(self.idle_first_token(forecast, entry, query))
        });
        let latency_forecast = if is_possible || allowance.is_gap_late(least.gap_seconds) {
            LatencyForecast::LateUnderLoad
        } else {
            LatencyForecast::LateWhenIdle
        };
        Some(least.placement(latency_forecast))
    }

    fn idle_first_token(
        &self,
        forecast: &ServerForecast,
        entry: &ServerEntry,
        query: &PlacementQuery,
    ) -> f64 {
        let class = entry.attributes.class;
        let prefill = self.speeds.prefill_seconds(forecast.server, class, 0.0);
        let gap = self.speeds.gap_seconds(forecast.server, class, 1.0);
        let computed = f64::from(query.prompt_tokens) - forecast.cached_tokens;
        computed * prefill + gap + NETWORK_SECONDS
    }

    fn dispatch(&mut self, attempt: AttemptId, server: ServerKey, prefix: &[u64], tokens: u32) {
        if self.waiting_tokens.len() <= server.index() {
            self.waiting_tokens.resize(server.index() + 1, 0.0);
        }
        let marked_tokens = self.prefixes.cached_on(server, prefix).min(tokens);
        let waiting_tokens = f64::from(tokens - marked_tokens);
        self.waiting_tokens[server.index()] += waiting_tokens;
        let open = OpenAttempt {
            server,
            marked_tokens,
            waiting_tokens,
        };
        self.attempts.insert(attempt, open);
        if self.options.use_prefixes {
            self.prefixes.mark(server, prefix);
        }
    }

    fn first_token(&mut self, attempt: AttemptId) {
        let Some(open) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let waiting = &mut self.waiting_tokens[open.server.index()];
        *waiting = (*waiting - open.waiting_tokens).max(0.0);
        open.waiting_tokens = 0.0;
    }

    fn report(&mut self, server: ServerKey, entry: &ServerEntry, report: &ServerReport) {
        if !self.options.use_speeds {
            return;
        }
        if report.running + report.waiting == 0 {
            self.speeds.ease(server, entry.attributes.class);
        }
        let gap_seconds = report.token_gap_micros as f64 / MICROS_PER_SECOND;
        let sample = SpeedSample {
            running: f64::from(report.running),
            gap_seconds: (gap_seconds > 0.0).then_some(gap_seconds),
            prefill_seconds: (report.prefill_tokens_per_second > 0.0)
                .then(|| 1.0 / report.prefill_tokens_per_second),
        };
        self.speeds.learn(server, entry.attributes.class, sample);
    }
}

impl PlacementPolicy for CostPolicy {
    fn place(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement> {
        self.reclaims.count(now, directory);
        self.forecast_all(directory, query);
        let best = self.choose(query);
        best.or_else(|| self.least_late(directory, query))
            .ok_or_else(no_server_refusal)
    }

    fn observe(&mut self, _now: Timestamp, directory: &ServerDirectory, event: &PlacementEvent) {
        match event {
            PlacementEvent::Dispatched {
                attempt,
                server,
                prefix,
                prompt_tokens,
            } => self.dispatch(*attempt, *server, prefix, *prompt_tokens),
            PlacementEvent::Started {
                attempt,
                cached_tokens,
                ..
            } => {
                if let Some(open) = self.attempts.get(attempt) {
                    self.prefixes
                        .learn(open.server, open.marked_tokens, *cached_tokens);
                }
            }
            PlacementEvent::FirstToken { attempt } => self.first_token(*attempt),
            PlacementEvent::Ended { attempt } => {
                self.first_token(*attempt);
                self.attempts.remove(attempt);
            }
            PlacementEvent::Reported { server, report } => {
                self.report(*server, directory.entry(*server), report);
            }
            PlacementEvent::CacheChanged {
                server,
                sequence,
                change,
                prefix,
            } => self.prefixes.change(*server, *sequence, *change, *prefix),
            PlacementEvent::ReclaimNoticed { server, .. } => {
                let facts = directory.entry(*server).attributes;
                if self.noticed.insert(*server) && facts.reclaimable {
                    self.reclaims.notice(facts.zone);
                }
            }
            PlacementEvent::EntryHostsChanged { count } => {
                self.options.entry_hosts = (*count).max(1);
            }
            PlacementEvent::Gone { server } => {
                self.noticed.remove(server);
                self.prefixes.forget(*server);
            }
        }
    }
}
