//! Places plain calls on servers.

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::{PlainExplanation, PlainOption};
use crate::capacity::PlacementTerms;
use crate::engine::preference_of;
use crate::registry::{RegisteredServer, ServerHealth, ServerRegistry};
use crate::speed::{ServerPace, SpeedLedger, TimeSample};

/// Age from which a server's reported load is ignored; calls take some tens of milliseconds.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// Cost of a server in another zone, as load per slot.
///
/// Two hops between zones take about a tenth of a call's time.
const OTHER_ZONE_COST: f64 = 0.15;
/// Cost of a server that fails all calls, as load per slot.
///
/// Such a server is used only if all others are full.
const FAILURE_COST: f64 = 4.0;
/// Assumed slots of a server that does not report any.
const DEFAULT_SLOTS: f64 = 4.0;
/// Load per slot, beyond [`FAILURE_COST`], at which a server is expected to reject calls.
const FULL_LOAD_PER_SLOT: f64 = 3.0;
/// Weight of a call's time in its server's speed; calls differ more than streams' intervals.
const CALL_SAMPLE_WEIGHT: f64 = 0.25;
/// Shortest retry delay in a refusal: the time of a few calls.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Fraction of the wait for a limited server over which rejected callers come back after it.
const LIMIT_RETURN_SPREAD: f64 = 0.5;

/// Load that a server reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of requests that run at a time.
    pub slots: u32,
    /// How long work takes on the server's machine at the moment, if the server says so.
    pub pace: Option<ServerPace>,
}

/// Plain call to be placed on a server.
#[derive(Debug, Clone, Copy)]
pub struct PlainQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Servers that must not be tried again.
    pub tried: &'a [ServerKey],
    /// Number that selects the server, the same on all hosts, and how many selections it skips.
    pub selected_by: Option<(u64, u32)>,
    /// Terms from the decisions before placement.
    pub terms: PlacementTerms<'a>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerStatus {
    in_flight: u32,
    reported_load: Option<(Timestamp, ServerLoad)>,
    health: ServerHealth,
}

/// Places plain calls on servers.
///
/// The server with the lowest load per slot is chosen, servers of the host's own zone first; where
/// servers differ in speed, the one at which the call is expected to end first.
/// Failing servers are avoided while others are not full. This handles services with few slots and
/// short deadlines, and servers that fail part of their calls while they report to be healthy.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::capacity::PlacementTerms;
/// use teaselglade_routing::registry::ServerRegistry;
/// use teaselglade_routing::plain::{PlainPlacer, PlainQuery};
///
/// let mut placer = PlainPlacer::new(1);
/// let terms = PlacementTerms { zone: "galway", ..PlacementTerms::default() };
/// let query = PlainQuery { service: "ticket-desk", tried: &[], selected_by: None, terms };
/// assert!(placer.place(Timestamp::ZERO, &ServerRegistry::default(), &query).is_err());
/// ```
#[derive(Debug)]
pub struct PlainPlacer {
    statuses: HashMap<ServerKey, ServerStatus>,
    ledger: SpeedLedger,
    rng: Pcg32,
}

impl PlainPlacer {
    /// Creates a placer without load. `seed` feeds tie breaks and the jitter of retry delays.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            statuses: HashMap::new(),
            ledger: SpeedLedger::default(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Chooses a server and counts the call there until [`PlainPlacer::record_end`].
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if no server takes work, or if all are full.
    pub fn place(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &PlainQuery<'_>,
    ) -> Result<ServerKey, RequestRefusal> {
        let server = self.choose(now, registry, query)?;
        self.record_start(server);
        Ok(server)
    }

    /// Chooses a server without counting the call there.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal like [`PlainPlacer::place`].
    pub fn choose(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &PlainQuery<'_>,
    ) -> Result<ServerKey, RequestRefusal> {
        if let Some((selector, rank)) = query.selected_by {
            let selected = self.select(now, registry, query, selector, rank);
            return selected.ok_or_else(|| self.no_server_refusal(now, registry, query.service));
        }
        let mut best: Option<(f64, ServerKey)> = None;
        for (key, server) in registry.available(now, query.service) {
            if query.tried.contains(&key) || !query.terms.versions.allows(key, server) {
                continue;
            }
            let tie_break = self.rng.random_range(0.0..0.02);
            let cost = self.cost(now, query, key, server) + tie_break;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        match best {
            Some((cost, _)) if cost > FULL_LOAD_PER_SLOT + FAILURE_COST => {
                Err(self.refusal(RefusalReason::PredictedLate, "all servers are full"))
            }
            Some((_, server)) => Ok(server),
            None => Err(self.no_server_refusal(now, registry, query.service)),
        }
    }

    /// Explains what [`PlainPlacer::choose`] would decide, without counting anything.
    pub fn explain(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &PlainQuery<'_>,
    ) -> PlainExplanation {
        let rng = self.rng.clone();
        let decision = self.choose(now, registry, query);
        self.rng = rng;
        let servers = registry.available(now, query.service);
        let untried = servers.filter(|(key, _)| !query.tried.contains(key));
        let versions = query.terms.versions;
        let allowed = untried.filter(|(key, server)| versions.allows(*key, server));
        let options = allowed.map(|(key, server)| {
            let status = self.statuses.get(&key).copied().unwrap_or_default();
            PlainOption {
                server: key,
                in_flight: status.in_flight,
                load_age: status.reported_load.map(|(at, _)| now.since(at)),
                cost: self.cost(now, query, key, server),
            }
        });
        let mut options: Vec<PlainOption> = options.collect();
        options.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        PlainExplanation { decision, options }
    }

    /// Counts a call at a server until [`PlainPlacer::record_end`].
    pub fn record_start(&mut self, server: ServerKey) {
        self.statuses.entry(server).or_default().in_flight += 1;
    }

    /// Stops counting a call that ended at its server.
    pub fn record_end(&mut self, server: ServerKey) {
        if let Some(status) = self.statuses.get_mut(&server) {
            status.in_flight = status.in_flight.saturating_sub(1);
        }
    }

    /// Records a response and the load that the server reported with it.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        is_healthy: bool,
        load: Option<ServerLoad>,
    ) {
        let status = self.statuses.entry(server).or_default();
        status.health.record_response(is_healthy);
        if let Some(load) = load {
            status.reported_load = Some((now, load));
        }
    }

    /// Records how long a call took at a server; calls of a server with a queue are left out.
    pub fn record_time(
        &mut self,
        now: Timestamp,
        service: &str,
        server: ServerKey,
        elapsed: Duration,
    ) {
        let status = self.statuses.get(&server);
        let load = status.and_then(|status| status.reported_load);
        if load.is_some_and(|(_, load)| load.waiting > 0) {
            return;
        }
        let weight = CALL_SAMPLE_WEIGHT;
        let sample = TimeSample { elapsed, weight };
        self.ledger.record_time(now, service, server, sample);
    }

    /// Returns the speeds and paces of servers.
    #[must_use]
    pub const fn ledger(&self) -> &SpeedLedger {
        &self.ledger
    }

    /// Returns the speeds and paces of servers, to record observations.
    pub const fn ledger_mut(&mut self) -> &mut SpeedLedger {
        &mut self.ledger
    }

    /// Records that a server was unreachable or did not respond in time.
    pub fn record_failure(&mut self, now: Timestamp, server: ServerKey) {
        let status = self.statuses.entry(server).or_default();
        status.health.record_unreachable(now);
    }

    /// Removes the load and health of a server that is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.statuses.remove(&server);
        self.ledger.forget_server(server);
    }

    /// Returns the server that a number selects, of those that do not fail if there are any.
    fn select(
        &self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &PlainQuery<'_>,
        selector: u64,
        rank: u32,
    ) -> Option<ServerKey> {
        let servers = registry.available(now, query.service);
        let untried = servers.filter(|(key, _)| !query.tried.contains(key));
        let versions = query.terms.versions;
        let untried = untried.filter(|(key, server)| versions.allows(*key, server));
        let mut candidates: Vec<(bool, u64, ServerKey)> = untried
            .map(|(key, server)| {
                let status = self.statuses.get(&key);
                let is_avoided = status.is_some_and(|status| status.health.is_avoided(now));
                (!is_avoided, preference_of(selector, server.hash), key)
            })
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let index = (rank as usize).min(candidates.len().saturating_sub(1));
        candidates.get(index).map(|(_, _, key)| *key)
    }

    fn cost(
        &self,
        now: Timestamp,
        query: &PlainQuery<'_>,
        key: ServerKey,
        server: &RegisteredServer,
    ) -> f64 {
        let status = self.statuses.get(&key).copied().unwrap_or_default();
        let reported = status
            .reported_load
            .filter(|(at, _)| now.since(*at) < LOAD_TTL);
        let reported = reported.map(|(_, load)| load);
        let slots = reported
            .map(|load| f64::from(load.slots))
            .or(server.registration.slots.map(f64::from))
            .unwrap_or(DEFAULT_SLOTS)
            .max(1.0);
        let reported_requests = reported.map_or(0.0, |load| f64::from(load.running + load.waiting));
        let load_per_slot = f64::from(status.in_flight).max(reported_requests) / slots;
        let expected_load = match self.ledger.time_factor(now, key) {
            1.0 => load_per_slot,
            time_factor => (load_per_slot + 1.0) * time_factor - 1.0,
        };
        let wanted_zone = query.terms.zones.leaves_to.unwrap_or(query.terms.zone);
        let zone_cost = if server.registration.zone == wanted_zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let avoided_share = if status.health.is_avoided(now) {
            1.0
        } else {
            0.0
        };
        let failure_share = status.health.failure_share().max(avoided_share);
        expected_load + zone_cost + FAILURE_COST * failure_share
    }

    fn no_server_refusal(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        service: &str,
    ) -> RequestRefusal {
        if registry.awaits_permit(now, service) {
            let refusal = self.refusal(RefusalReason::ServerLimit, "all servers are limited");
            let wait = registry.next_return(now, service).unwrap_or(now).since(now);
            let jitter = self.rng.random_range(1.0..1.0 + LIMIT_RETURN_SPREAD);
            return refusal.retry_after(wait.mul_f64(jitter).max(MIN_RETRY_DELAY));
        }
        let refusal = self.refusal(RefusalReason::NoServer, "no server takes work");
        match registry.next_return(now, service) {
            Some(returns_at) => refusal.retry_after(returns_at.since(now)),
            None => refusal,
        }
    }

    fn refusal(&mut self, reason: RefusalReason, detail: &str) -> RequestRefusal {
        let jitter = self.rng.random_range(1.0..2.0);
        RequestRefusal::not_run(reason, detail).retry_after(MIN_RETRY_DELAY.mul_f64(jitter))
    }
}
