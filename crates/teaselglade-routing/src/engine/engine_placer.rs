//! Places streams on model engines, or refuses them.

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_placement::limit::DemandMeter;

use super::ToldLoads;
use super::engine_candidate::{EngineCandidate, preference, weighted_preference};
use super::engine_choice::choose_engine;
use super::engine_loads::EngineLoads;
use super::{CachedPart, EngineLoad, EngineSpeed, PrefixLocations, PromptShape, Result, SlotPace};
use crate::capacity::PlacementTerms;
use crate::registry::{ServerHealth, ServerRegistry};
use crate::speed::SpeedLedger;
use crate::table::EngineSpec;

/// Share of the target within which the first event must be predicted.
///
/// The rest covers requests that peers place on the same engine before this host knows of them.
const TARGET_SHARE: f64 = 0.9;
/// Maximum queueing time, as a share of the target, of prompts whose prefill alone exceeds it.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Weight of the prefill time taken from later requests, relative to the stream's own latency.
const WORK_WEIGHT: f64 = 1.0;
/// Delay where an engine's cache memory is full, as other requests have to end first.
const MEMORY_DELAY: Duration = Duration::from_millis(400);
/// Share of an engine's cache memory that running requests may fill before prompts wait.
const MEMORY_SHARE: f64 = 0.9;
/// Time for which a placed part is gossiped.
///
/// It spans a few gossip intervals, as digests get lost.
const PART_GOSSIP_WINDOW: Duration = Duration::from_millis(700);
/// Maximum number of cached parts in one aggregate digest; about 4 KB.
const MAX_AGGREGATE_PARTS: usize = 200;
/// Weight of a prefill time in an engine's speed; it spreads twice as much as event intervals.
const PREFILL_SAMPLE_WEIGHT: f64 = 0.25;
/// Shortest retry delay in a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest retry delay in a refusal.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Fraction of the wait for a limited engine over which rejected callers come back after it.
const LIMIT_RETURN_SPREAD: f64 = 0.5;

/// Identifier of a stream's reservation, unique within its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(u64);

/// Stream to be placed on an engine.
#[derive(Debug, Clone)]
pub struct EngineQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Capacity of the service's engines.
    pub spec: &'a EngineSpec,
    /// Token counts and prefix parts of the prompt.
    pub prompt: &'a PromptShape,
    /// Time from now within which the first event is on time.
    pub target: Duration,
    /// Time from now until the caller stops waiting.
    pub caller_timeout: Duration,
    /// Servers that must not be tried again.
    pub tried: &'a [ServerKey],
    /// Whether the stream has begun before. Then it must not be refused for lateness.
    pub is_continued: bool,
    /// Whether the loads are stale.
    ///
    /// In a large fleet all hosts get the same loads from aggregators, and get them late.
    pub is_load_stale: bool,
    /// Part and rank that select the engine, whatever its load and cache.
    ///
    /// All hosts choose alike, so that attempts which may end their engine meet on one.
    pub selected_by: Option<(u64, u32)>,
    /// Terms from the decisions before placement.
    pub terms: PlacementTerms<'a>,
}

/// Reservation of a stream on an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineReservation {
    /// Identifier to pass to later calls.
    pub id: ReservationId,
    /// Engine that runs the stream.
    pub server: ServerKey,
    /// Predicted time to the first event.
    pub predicted_latency: Duration,
    /// Prompt tokens that the engine has to prefill.
    pub new_tokens: u32,
    /// Prompt tokens of all hosts that are queued before this prompt.
    pub tokens_ahead: f64,
}

#[derive(Debug, Clone, Copy)]
struct OpenStream {
    server: ServerKey,
    sent_at: Timestamp,
    waiting_tokens: f64,
    memory_tokens: f64,
    tokens_ahead: f64,
    prefill_time: Duration,
    first_event_at: Option<Timestamp>,
}

/// Places streams on model engines, or refuses them.
///
/// An engine's cost is the predicted time to the first event plus the prefill time that the
/// placement takes from later requests. A prompt therefore goes where its prefix is cached, until
/// the queue there costs more than prefilling it again elsewhere. Where no engine has the prefix,
/// all hosts rank engines alike by the prefix hash, so that later prompts with the same prefix go
/// to the same engine.
///
/// A stream is refused at once if the load of others would make it late; one that is late because
/// of its own size runs where the queue is short. This sheds load above the engines' prefill rate.
/// In a large fleet each prompt considers a few engines first, so that hosts with the same stale
/// loads do not all place on the engine that was empty then.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::capacity::PlacementTerms;
/// use teaselglade_routing::engine::{EnginePlacer, EngineQuery, PromptShape};
/// use teaselglade_routing::registry::ServerRegistry;
/// use teaselglade_routing::table::EngineSpec;
///
/// let mut placer = EnginePlacer::new(1);
/// let prompt = PromptShape::new(900, 80, [(1, 900)]);
/// let spec = EngineSpec { slots: 64, memory_tokens: 500_000.0, event_tokens: 4 };
/// let query = EngineQuery {
///     service: "draft-fleet",
///     spec: &spec,
///     prompt: &prompt,
///     target: Duration::from_millis(500),
///     caller_timeout: Duration::from_secs(10),
///     tried: &[],
///     is_continued: false,
///     is_load_stale: false,
///     selected_by: None,
///     terms: PlacementTerms::default(),
/// };
/// let refusal = placer.place(Timestamp::ZERO, &ServerRegistry::default(), &query).unwrap_err();
/// assert!(refusal.retry_after.is_some());
/// ```
#[derive(Debug)]
pub struct EnginePlacer {
    pub(super) cache: PrefixLocations,
    speeds: HashMap<String, EngineSpeed>,
    ledger: SpeedLedger,
    paces: HashMap<String, SlotPace>,
    open_streams: HashMap<ReservationId, OpenStream>,
    pub(super) loads: EngineLoads,
    health: HashMap<ServerKey, ServerHealth>,
    recent_parts: Vec<(Timestamp, CachedPart)>,
    /// Prompt tokens that need prefill, by service, including those of refused streams.
    demand: HashMap<String, DemandMeter>,
    last_id: u64,
    pub(super) rng: Pcg32,
}

impl EnginePlacer {
    /// Creates a placer without load; `seed` feeds the jitter of retry delays.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            cache: PrefixLocations::default(),
            speeds: HashMap::new(),
            ledger: SpeedLedger::default(),
            paces: HashMap::new(),
            open_streams: HashMap::new(),
            loads: EngineLoads::default(),
            health: HashMap::new(),
            recent_parts: Vec::new(),
            demand: HashMap::new(),
            last_id: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Chooses an engine and reserves a place for the stream there.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no engine takes work, if the load would make the first event
    /// late, or if the caller would no longer wait for it.
    pub fn place(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
    ) -> Result<EngineReservation> {
        let best = self.best_candidate(now, registry, query);
        self.admit(now, registry, query, best)
    }

    /// Returns the engine that [`EnginePlacer::place`] would choose, without reserving it.
    #[must_use]
    pub fn preview(
        &self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
    ) -> Option<ServerKey> {
        let best = self.best_candidate(now, registry, query);
        best.map(|best| best.server)
    }

    /// Reserves a place for the stream at a given engine, like [`EnginePlacer::place`].
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if the engine no longer takes work, or if the load would make the
    /// first event late.
    pub fn place_at(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
        server: ServerKey,
    ) -> Result<EngineReservation> {
        let versions = query.terms.versions;
        let takes_work =
            registry.takes_work(server) && versions.allows(server, registry.server(server));
        let hash = registry.server(server).hash;
        let candidate = takes_work.then(|| self.candidate(now, query, server, hash));
        self.admit(now, registry, query, candidate)
    }

    /// Meters the demand of a stream and reserves a place at the chosen engine, if it is on time.
    fn admit(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
        best: Option<EngineCandidate>,
    ) -> Result<EngineReservation> {
        let prefill_tokens = best.map_or(query.prompt.prompt_tokens, |best| best.new_tokens);
        let meter = self.demand.entry(query.service.to_owned()).or_default();
        meter.add(now, f64::from(prefill_tokens));
        let best = best.ok_or_else(|| self.no_engine_refusal(now, registry, query.service))?;
        if !query.is_continued {
            self.check_admission(query, best)?;
        }
        Ok(self.reserve(now, registry, query, best))
    }

    /// Records the first event of a stream and updates the service's prefill speed.
    pub fn record_first_event(&mut self, now: Timestamp, service: &str, id: ReservationId) {
        let Some(stream) = self.open_streams.get_mut(&id) else {
            return;
        };
        stream.first_event_at.get_or_insert(now);
        let tokens = stream.waiting_tokens;
        stream.waiting_tokens = 0.0;
        let tokens_ahead = stream.tokens_ahead;
        let (server, elapsed) = (stream.server, now.since(stream.sent_at));
        self.loads.end_prefill(server, tokens);
        let speed = self.speeds.entry(service.to_owned()).or_default();
        let factor = self.ledger.time_factor(now, server);
        if let Some(ratio) = speed.time_ratio(tokens + tokens_ahead, elapsed) {
            // Of a long queue, this host may not know all, nor what of it has ended.
            let weight = PREFILL_SAMPLE_WEIGHT * tokens / (tokens + tokens_ahead);
            self.ledger
                .record_ratio(now, service, server, ratio, weight);
        }
        speed.observe((tokens + tokens_ahead) * factor, elapsed);
        self.health.entry(server).or_default().record_response(true);
    }

    /// Releases the reservation of a stream that ended, whatever the outcome.
    pub fn record_end(&mut self, now: Timestamp, service: &str, id: ReservationId) {
        let Some(stream) = self.open_streams.remove(&id) else {
            return;
        };
        if let Some(first_event_at) = stream.first_event_at {
            // The time in the engine's queue holds no slot.
            let held = now.since(first_event_at) + stream.prefill_time;
            let pace = self.paces.entry(service.to_owned()).or_default();
            pace.observe(held);
        }
        self.loads
            .remove_request(stream.server, stream.waiting_tokens, stream.memory_tokens);
    }

    /// Records that a server was unreachable or broke a stream off.
    pub fn record_failure(&mut self, now: Timestamp, server: ServerKey) {
        self.health
            .entry(server)
            .or_default()
            .record_unreachable(now);
    }

    /// Removes cached parts and health of a server that restarted or is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.cache.remove_server(server);
        self.health.remove(&server);
        self.ledger.forget_server(server);
    }

    /// Replaces a peer's loads and merges the parts that it placed.
    pub fn merge_peer_state(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        peer: &str,
        loads: &[EngineLoad],
        parts: &[CachedPart],
    ) {
        self.loads.merge_peer(now, peer, loads);
        self.merge_cached_parts(now, registry, parts);
    }

    /// Records which parts other hosts placed on which engines.
    pub fn merge_cached_parts(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        parts: &[CachedPart],
    ) {
        for part in parts {
            if let Some(server) = registry.find_by_hash(part.server) {
                self.cache.record_use(now, server, part.prefix_hash);
            }
        }
    }

    /// Returns cached parts due in an aggregate digest, and marks them as sent.
    pub fn take_unsent_parts(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
    ) -> Vec<CachedPart> {
        let unsent = self.cache.take_unsent(now, MAX_AGGREGATE_PARTS).into_iter();
        let parts = unsent.map(|(server, prefix_hash)| {
            let server = registry.server(server).hash;
            CachedPart {
                server,
                prefix_hash,
            }
        });
        parts.collect()
    }

    /// Replaces the loads of other hosts by an aggregate, less this host's own loads.
    pub fn apply_aggregate(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        loads: &[EngineLoad],
    ) {
        self.loads.apply_aggregate(now, registry, loads);
    }

    /// Replaces the loads of other hosts on engines that an aggregator tells in turn.
    pub fn apply_load_turn(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        loads: &[EngineLoad],
    ) {
        self.loads.apply_turn(now, registry, loads);
    }

    /// Returns what the next aggregate tells of the loads of all hosts together.
    pub fn tell_loads(&mut self, registry: &ServerRegistry) -> ToldLoads {
        self.loads.tell(registry)
    }

    /// Stops using the last aggregate. This host now aggregates the digests of peers itself.
    pub const fn stop_applying_aggregate(&mut self) {
        self.loads.stop_applying_aggregate();
    }

    /// Returns the loads of all hosts together by engine, for an aggregate digest.
    #[must_use]
    pub fn total_loads(&self, registry: &ServerRegistry) -> Vec<EngineLoad> {
        self.loads.total(registry)
    }

    /// Returns this host's loads by engine, for its digest.
    #[must_use]
    pub fn own_loads(&self, registry: &ServerRegistry) -> Vec<EngineLoad> {
        self.loads.own(registry)
    }

    /// Returns the parts that this host placed recently, for its digest.
    pub fn recent_parts(&mut self, now: Timestamp) -> Vec<CachedPart> {
        self.recent_parts
            .retain(|(at, _)| now.since(*at) < PART_GOSSIP_WINDOW);
        self.recent_parts.iter().map(|(_, part)| *part).collect()
    }

    /// Returns the demand of this host's callers in prompt tokens per second, by service.
    pub fn demand(&mut self, now: Timestamp) -> Vec<(String, f64)> {
        let rates = self.demand.iter_mut();
        rates
            .map(|(service, meter)| (service.clone(), meter.rate(now)))
            .collect()
    }

    /// Returns the prefill speed of a service's engines.
    #[must_use]
    pub fn speed(&self, service: &str) -> EngineSpeed {
        self.speeds.get(service).copied().unwrap_or_default()
    }

    /// Returns the number of engines whose slots the requests of all hosts fill.
    #[must_use]
    pub fn occupied_engines(&self, registry: &ServerRegistry, service: &str, slots: u32) -> f64 {
        let engines = registry.of_service(service);
        let requests = engines.map(|(key, server)| self.loads.of_engine(key, server.hash).requests);
        requests.sum::<f64>() / f64::from(slots.max(1))
    }

    /// Returns the number of streams that this host has open on a server.
    #[must_use]
    pub fn open_streams(&self, server: ServerKey) -> u32 {
        self.loads.own_requests(server)
    }

    /// Returns the speeds and paces of engines.
    #[must_use]
    pub const fn ledger(&self) -> &SpeedLedger {
        &self.ledger
    }

    /// Returns the speeds and paces of engines, to record observations.
    pub const fn ledger_mut(&mut self) -> &mut SpeedLedger {
        &mut self.ledger
    }

    /// Returns how long streams of a service hold their slots.
    #[must_use]
    pub fn pace(&self, service: &str) -> SlotPace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// Removes expired cached parts and loads.
    pub fn prune(&mut self, now: Timestamp) {
        self.cache.prune(now);
        self.loads.prune(now);
    }

    pub(super) fn best_candidate(
        &self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
    ) -> Option<EngineCandidate> {
        choose_engine(&self.candidates(now, registry, query), query, TARGET_SHARE)
    }

    /// Returns the engines that a stream may be sent to.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
    ) -> Vec<EngineCandidate> {
        let servers = registry.available(now, query.service);
        let untried = servers.filter(|(key, _)| !query.tried.contains(key));
        let versions = query.terms.versions;
        let untried = untried.filter(|(key, server)| versions.allows(*key, server));
        let candidates = untried.map(|(key, server)| {
            let candidate = self.candidate(now, query, key, server.hash);
            let terms = &query.terms;
            candidate.add_zone_cost(terms.zones.cost(terms.zone, &server.registration.zone))
        });
        candidates.collect()
    }

    fn candidate(
        &self,
        now: Timestamp,
        query: &EngineQuery<'_>,
        server: ServerKey,
        hash: u64,
    ) -> EngineCandidate {
        let load = self.loads.of_engine(server, hash);
        let speed = self.speed(query.service);
        let time_factor = self.ledger.time_factor(now, server);
        let lasting_speed = self.ledger.speed(server);
        let cached = self.cache.cached_tokens(now, server, query.prompt);
        let new_tokens = query.prompt.prompt_tokens.saturating_sub(cached);
        let tokens_ahead = load.waiting_tokens;
        let prefill_time = speed.prefill_time(f64::from(new_tokens) * time_factor);
        // A slow engine's time is worth less to later requests, in proportion to its speed.
        let work_time = speed.prefill_time(f64::from(new_tokens));
        let all_tokens = f64::from(new_tokens) + tokens_ahead;
        let mut predicted_latency = speed.prefill_time(all_tokens * time_factor);
        predicted_latency += self.slot_delay(query, load.requests).mul_f64(time_factor);
        let needed_memory = load.memory_tokens + f64::from(query.prompt.total_tokens());
        if needed_memory > query.spec.memory_tokens * MEMORY_SHARE {
            predicted_latency += MEMORY_DELAY;
        }
        let health = self.health.get(&server);
        let failures = health.map_or(0.0, ServerHealth::failure_share);
        let cost = predicted_latency.as_secs_f64()
            + work_time.as_secs_f64() * WORK_WEIGHT
            + failures * query.target.as_secs_f64();
        EngineCandidate {
            server,
            hash,
            is_avoided: health.is_some_and(|health| health.is_avoided(now)),
            zone_cost_ms: 0.0,
            used_share: load.requests / f64::from(query.spec.slots),
            predicted_latency,
            prefill_time,
            new_tokens,
            tokens_ahead,
            cost_ms: cost * 1_000.0,
            preference: weighted_preference(preference(query.prompt, hash), lasting_speed),
            speed: lasting_speed,
        }
    }

    /// Returns the time until a slot is free for one more request on an engine.
    fn slot_delay(&self, query: &EngineQuery<'_>, requests: f64) -> Duration {
        let release_interval = self.pace(query.service).release_interval(query.spec.slots);
        let excess_requests = requests + 1.0 - f64::from(query.spec.slots);
        release_interval.mul_f64(excess_requests.max(0.0))
    }

    pub(super) fn check_admission(
        &mut self,
        query: &EngineQuery<'_>,
        best: EngineCandidate,
    ) -> Result<()> {
        let target = query.target.mul_f64(TARGET_SHARE);
        let wait = best.predicted_latency.saturating_sub(best.prefill_time);
        let is_prefill_too_long = best.prefill_time > target;
        let is_on_time = best.predicted_latency <= target;
        let is_wait_short = is_prefill_too_long && wait <= query.target.mul_f64(MAX_WAIT_SHARE);
        let queue_limit = query.terms.queue_limit.unwrap_or(Duration::MAX);
        let is_admitted = (is_on_time || is_wait_short) && wait <= queue_limit;
        if is_admitted && best.predicted_latency < query.caller_timeout {
            return Ok(());
        }
        let jitter = self.rng.random_range(1.0..1.6);
        let retry_delay = best
            .predicted_latency
            .saturating_sub(target)
            .mul_f64(jitter);
        let detail = format!(
            "first event predicted in {} ms, wanted in {} ms",
            best.predicted_latency.as_millis(),
            query.target.as_millis()
        );
        let refusal = RequestRefusal::not_run(RefusalReason::PredictedLate, detail);
        Err(refusal.retry_after(retry_delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)))
    }

    fn reserve(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
        best: EngineCandidate,
    ) -> EngineReservation {
        self.last_id += 1;
        let id = ReservationId(self.last_id);
        let stream = OpenStream {
            server: best.server,
            sent_at: now,
            waiting_tokens: f64::from(best.new_tokens),
            memory_tokens: f64::from(query.prompt.total_tokens()),
            tokens_ahead: best.tokens_ahead,
            prefill_time: best.prefill_time,
            first_event_at: None,
        };
        self.open_streams.insert(id, stream);
        self.loads
            .add_request(best.server, stream.waiting_tokens, stream.memory_tokens);
        let server = registry.server(best.server).hash;
        for part in &query.prompt.parts {
            self.cache.record_use(now, best.server, part.prefix_hash);
        }
        for part in query.prompt.parts.iter().rev().skip(1) {
            let prefix_hash = part.prefix_hash;
            self.recent_parts.push((
                now,
                CachedPart {
                    server,
                    prefix_hash,
                },
            ));
        }
        EngineReservation {
            id,
            server: best.server,
            predicted_latency: best.predicted_latency,
            new_tokens: best.new_tokens,
            tokens_ahead: best.tokens_ahead,
        }
    }

    pub(super) fn no_engine_refusal(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        service: &str,
    ) -> RequestRefusal {
        let jitter = self.rng.random_range(1.0..2.0);
        let returns_at = registry.next_return(now, service);
        if registry.awaits_permit(now, service) {
            let refusal =
                RequestRefusal::not_run(RefusalReason::ServerLimit, "all engines are limited");
            let wait = returns_at.unwrap_or(now).since(now);
            let spread = 1.0 + LIMIT_RETURN_SPREAD * (jitter - 1.0);
            return refusal.retry_after(wait.mul_f64(spread).max(MIN_RETRY_DELAY));
        }
        let refusal = RequestRefusal::not_run(RefusalReason::NoServer, "no engine takes work");
        refusal.retry_after(
            returns_at.map_or(MIN_RETRY_DELAY.mul_f64(2.0 * jitter), |at| at.since(now)),
        )
    }
}
