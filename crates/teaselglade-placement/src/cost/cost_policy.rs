//! Placement policy of the least expected cost.

use std::collections::{HashMap, HashSet};

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

use super::server_forecast::{LatencyLimits, ServerForecast};
use super::{CostOptions, PrefixIndex, ReclaimModel, SpeedModel, SpeedSample};
use crate::baseline::no_server_refusal;
use crate::policy::{
    LatencyForecast, Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result,
};
use crate::server::{ServerDirectory, ServerEntry};

const SECONDS_PER_HOUR: f64 = 3_600.0;
const MICROS_PER_SECOND: f64 = 1e6;
const NETWORK_DELAY_SECONDS: f64 = 0.002;
/// Fraction of the idle timeout that is charged to a request placed on an idle server.
const IDLE_CHARGE_FRACTION: f64 = 0.5;
const UNIFORM_CENTS_PER_HOUR: f64 = 50.0;

#[derive(Debug, Clone, Copy)]
struct OpenAttempt {
    server: ServerKey,
    expected_cached_tokens: u32,
    waiting_tokens: f64,
}

/// Chooses the cheapest server among those predicted to meet the targets.
///
/// The cost is the price of the request's share of a server, so a server that already runs
/// other requests is cheaper than one that would be kept for this request alone. The expected
/// loss by a reclaim is added; the cost weight of the organisation's row balances the two. If
/// no server meets the targets, the one that exceeds them least is chosen.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::cost::{CostOptions, CostPolicy};
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let policy = CostPolicy::new(CostOptions { entry_hosts: 8, ..CostOptions::default() });
/// let placer = ServerPlacer::new(Box::new(policy));
/// assert!(placer.directory().is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct CostPolicy {
    options: CostOptions,
    speeds: SpeedModel,
    prefixes: PrefixIndex,
    reclaims: ReclaimModel,
    attempts: HashMap<AttemptId, OpenAttempt>,
    reclaim_noticed: HashSet<ServerKey>,
    waiting_tokens: Vec<f64>,
    cached: Vec<u32>,
    forecasts: Vec<ServerForecast>,
}

impl CostPolicy {
    /// Creates a policy without observations.
    #[must_use]
    pub fn new(options: CostOptions) -> Self {
        Self {
            options,
            speeds: SpeedModel::default(),
            prefixes: PrefixIndex::default(),
            reclaims: ReclaimModel::default(),
            attempts: HashMap::new(),
            reclaim_noticed: HashSet::new(),
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
        let limits = LatencyLimits::new(query, &self.options);
        let mut forecasts = std::mem::take(&mut self.forecasts);
        forecasts.clear();
        let servers = directory.live(query.service).iter();
        let allowed = servers
            .map(|server| (*server, directory.entry(*server)))
            .filter(|(server, entry)| query.allows(*server, entry));
        forecasts
            .extend(allowed.map(|(server, entry)| self.forecast(server, entry, query, limits)));
        self.forecasts = forecasts;
    }

    fn forecast(
        &self,
        server: ServerKey,
        entry: &ServerEntry,
        query: &PlacementQuery,
        limits: LatencyLimits,
    ) -> ServerForecast {
        let class = entry.attributes.class;
        let running = self.running(entry);
        let gap = self.speeds.gap_seconds(server, class, running + 1.0);
        let prefill = self.speeds.prefill_seconds(server, class, running);
        let prompt = f64::from(query.prompt_tokens);
        let indexed = f64::from(self.cached[server.index()]).min(prompt);
        let cached = indexed * self.prefixes.confidence(server);
        let prefill_seconds = (prompt - cached) * prefill;
        let wait_seconds = self.waiting_prompt_tokens(server) * prefill;
        let answer_seconds = f64::from(query.answer_tokens) * gap;
        let run_seconds = wait_seconds + prefill_seconds + answer_seconds;
        let first_token_seconds = wait_seconds + prefill_seconds + gap + NETWORK_DELAY_SECONDS;
        ServerForecast {
            server,
            cached_tokens: cached,
            first_token_seconds,
            gap_seconds: gap,
            used_fraction: limits.used_fraction(first_token_seconds, gap),
            cents: self.cents(entry, running, prefill_seconds + answer_seconds),
            lost_tokens: self.lost_tokens(entry, query, run_seconds),
        }
    }

    fn running(&self, entry: &ServerEntry) -> f64 {
        let others = f64::from(self.options.entry_hosts.max(1) - 1);
        f64::from(entry.load.requests()) + f64::from(entry.load.recent_starts()) * others
    }

    /// Estimates the prompt tokens waiting on a server.
    ///
    /// Assumes that every other entry host has as many waiting there as this one.
    fn waiting_prompt_tokens(&self, server: ServerKey) -> f64 {
        let own = self.waiting_tokens.get(server.index());
        own.copied().unwrap_or_default() * f64::from(self.options.entry_hosts.max(1))
    }

    fn cents(&self, entry: &ServerEntry, running: f64, seconds: f64) -> f64 {
        let price = if self.options.use_prices {
            entry.attributes.cents_per_hour
        } else {
            UNIFORM_CENTS_PER_HOUR
        };
        let idle = self.options.idle_timeout.as_secs_f64() * IDLE_CHARGE_FRACTION;
        let charged_seconds = seconds + if running < 0.5 { idle } else { 0.0 };
        price / SECONDS_PER_HOUR * charged_seconds / (running + 1.0)
    }

    fn lost_tokens(&self, entry: &ServerEntry, query: &PlacementQuery, seconds: f64) -> f64 {
        if !self.options.use_reclaims || !entry.attributes.reclaimable {
            return 0.0;
        }
        let tokens = f64::from(query.prompt_tokens) + f64::from(query.answer_tokens) / 2.0;
        self.reclaims.probability(entry.attributes.zone, seconds) * tokens
    }

    fn choose(&self, query: &PlacementQuery) -> Option<Placement> {
        let on_target = || {
            let forecasts = self.forecasts.iter();
            forecasts.filter(|forecast| !self.options.use_targets || forecast.used_fraction <= 1.0)
        };
        let cheapest = on_target()
            .map(|forecast| forecast.cents)
            .fold(f64::INFINITY, f64::min);
        let cost_weight = query.cost_weight / cheapest.max(f64::MIN_POSITIVE);
        let tokens = f64::from(query.prompt_tokens + query.answer_tokens).max(1.0);
        let loss_weight = (1.0 - query.cost_weight) * self.options.loss_weight / tokens;
        let score = |forecast: &ServerForecast| {
            cost_weight * forecast.cents + loss_weight * forecast.lost_tokens
        };
        let best = on_target().min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|forecast| forecast.placement(LatencyForecast::OnTarget))
    }

    fn place_least_late(
        &self,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Option<Placement> {
        let forecasts = self.forecasts.iter();
        let least = forecasts.min_by(|a, b| a.used_fraction.total_cmp(&b.used_fraction))?;
        let limits = LatencyLimits::new(query, &self.options);
        let is_met_when_idle = self.forecasts.iter().any(|forecast| {
            let entry = directory.entry(forecast.server);
            !limits.is_first_token_late(self.idle_first_token_seconds(forecast, entry, query))
        });
        let latency_forecast = if is_met_when_idle || limits.is_gap_late(least.gap_seconds) {
            LatencyForecast::LateUnderLoad
        } else {
            LatencyForecast::LateWhenIdle
        };
        Some(least.placement(latency_forecast))
    }

    fn idle_first_token_seconds(
        &self,
        forecast: &ServerForecast,
        entry: &ServerEntry,
        query: &PlacementQuery,
    ) -> f64 {
        let class = entry.attributes.class;
        let prefill = self.speeds.prefill_seconds(forecast.server, class, 0.0);
        let gap = self.speeds.gap_seconds(forecast.server, class, 1.0);
        let computed = f64::from(query.prompt_tokens) - forecast.cached_tokens;
        computed * prefill + gap + NETWORK_DELAY_SECONDS
    }

    fn record_dispatch(
        &mut self,
        attempt: AttemptId,
        server: ServerKey,
        prefix: &[u64],
        tokens: u32,
    ) {
        if self.waiting_tokens.len() <= server.index() {
            self.waiting_tokens.resize(server.index() + 1, 0.0);
        }
        let expected_cached_tokens = self.prefixes.cached_on(server, prefix).min(tokens);
        let waiting_tokens = f64::from(tokens - expected_cached_tokens);
        self.waiting_tokens[server.index()] += waiting_tokens;
        let open = OpenAttempt {
            server,
            expected_cached_tokens,
            waiting_tokens,
        };
        self.attempts.insert(attempt, open);
        if self.options.use_prefixes {
            self.prefixes.record_cached(server, prefix);
        }
    }

    fn record_first_token(&mut self, attempt: AttemptId) {
        let Some(open) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let waiting = &mut self.waiting_tokens[open.server.index()];
        *waiting = (*waiting - open.waiting_tokens).max(0.0);
        open.waiting_tokens = 0.0;
    }

    fn record_report(&mut self, server: ServerKey, entry: &ServerEntry, report: &ServerReport) {
        if !self.options.use_speeds {
            return;
        }
        if report.running + report.waiting == 0 {
            self.speeds.decay_idle(server, entry.attributes.class);
        }
        let gap_seconds = report.token_gap_micros as f64 / MICROS_PER_SECOND;
        let sample = SpeedSample {
            running: f64::from(report.running),
            gap_seconds: (gap_seconds > 0.0).then_some(gap_seconds),
            prefill_seconds: (report.prefill_tokens_per_second > 0.0)
                .then(|| 1.0 / report.prefill_tokens_per_second),
        };
        self.speeds.observe(server, entry.attributes.class, sample);
    }
}

impl PlacementPolicy for CostPolicy {
    fn place(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement> {
        self.reclaims.record_uptime(now, directory);
        self.forecast_all(directory, query);
        let best = self.choose(query);
        best.or_else(|| self.place_least_late(directory, query))
            .ok_or_else(no_server_refusal)
    }

    fn observe(&mut self, _now: Timestamp, directory: &ServerDirectory, event: &PlacementEvent) {
        match event {
            PlacementEvent::Dispatched {
                attempt,
                server,
                prefix,
                prompt_tokens,
            } => self.record_dispatch(*attempt, *server, prefix, *prompt_tokens),
            PlacementEvent::Started {
                attempt,
                cached_tokens,
                ..
            } => {
                if let Some(open) = self.attempts.get(attempt) {
                    self.prefixes.record_hit(
                        open.server,
                        open.expected_cached_tokens,
                        *cached_tokens,
                    );
                }
            }
            PlacementEvent::FirstToken { attempt } => self.record_first_token(*attempt),
            PlacementEvent::Ended { attempt } => {
                self.record_first_token(*attempt);
                self.attempts.remove(attempt);
            }
            PlacementEvent::Reported { server, report } => {
                self.record_report(*server, directory.entry(*server), report);
            }
            PlacementEvent::CacheChanged {
                server,
                sequence,
                change,
                prefix,
            } => self
                .prefixes
                .apply_change(*server, *sequence, *change, *prefix),
            PlacementEvent::ReclaimNoticed { server, .. } => {
                let attributes = directory.entry(*server).attributes;
                if self.reclaim_noticed.insert(*server) && attributes.reclaimable {
                    self.reclaims.record_notice(attributes.zone);
                }
            }
            PlacementEvent::EntryHostsChanged { count } => {
                self.options.entry_hosts = (*count).max(1);
            }
            PlacementEvent::Gone { server } => {
                self.reclaim_noticed.remove(server);
                self.prefixes.remove_server(*server);
            }
        }
    }
}
