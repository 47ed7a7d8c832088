//! Chooses the server that a plain call goes to.

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use crate::registry::{RegisteredServer, ServerHealth, ServerRegistry};

/// Age from which a server's word on its load tells nothing; calls take some tens of ms.
const LOAD_SPAN: Duration = Duration::from_millis(500);
/// Cost of a server in another zone, in slots; two hops take about as long as a tenth of a call.
const OTHER_ZONE: f64 = 0.15;
/// Cost of a server that fails all calls, in slots; it is used only where all others are full.
const FAILURE_COST: f64 = 4.0;
/// Slots of a server that does not say.
const FIRST_SLOTS: f64 = 4.0;
/// Waiting calls, in slots, from which a server that told its load is taken to turn calls away.
const FULL_USE: f64 = 3.0;
/// Shortest time to come back that a refusal names; a few calls' time.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// What a server said of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that may run at a time.
    pub slots: u32,
}

/// The question where a plain call goes.
#[derive(Debug, Clone, Copy)]
pub struct PlainQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Zone of this host.
    pub zone: &'a str,
    /// Servers that were tried.
    pub tried: &'a [ServerKey],
}

#[derive(Debug, Clone, Copy, Default)]
struct PlainSeat {
    in_flight: u32,
    told: Option<(Timestamp, ServerLoad)>,
    health: ServerHealth,
}

/// Chooses the server that a plain call goes to.
///
/// Least use of the slots counts, in the own zone first; servers that fail are avoided while
/// others are not full. Answers few slots, short deadlines and servers that fail part of their
/// calls while they claim to be well.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::registry::ServerRegistry;
/// use teaselglade_routing::plain::{PlainPlacer, PlainQuery};
///
/// let mut placer = PlainPlacer::new(1);
/// let query = PlainQuery { service: "ticket-desk", zone: "galway", tried: &[] };
/// assert!(placer.place(Timestamp::ZERO, &ServerRegistry::default(), &query).is_err());
/// ```
#[derive(Debug)]
pub struct PlainPlacer {
    seats: HashMap<ServerKey, PlainSeat>,
    random: Pcg32,
}

impl PlainPlacer {
    /// Makes a placer without load; `seed` breaks ties.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seats: HashMap::new(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Chooses a server and counts the call there until [`PlainPlacer::record_end`].
    ///
    /// # Errors
    ///
    /// Refuses as "not run" where no server takes work, or all are full.
    pub fn place(
        &mut self,
        now: Timestamp,
        fleet: &ServerRegistry,
        query: &PlainQuery<'_>,
    ) -> Result<ServerKey, RequestRefusal> {
        let mut best: Option<(f64, ServerKey)> = None;
        for (key, server) in fleet.of_service(query.service) {
            if query.tried.contains(&key) {
                continue;
            }
            let tie = self.random.random_range(0.0..0.02);
            let cost = self.cost(now, query, key, server) + tie;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        let Some((cost, server)) = best else {
            return Err(self.refusal(RefusalReason::NoServer, "no server takes work"));
        };
        if cost > FULL_USE + FAILURE_COST {
            return Err(self.refusal(RefusalReason::PredictedLate, "all servers are full"));
        }
        self.seats.entry(server).or_default().in_flight += 1;
        Ok(server)
    }

    /// Notes that a call is over at its server.
    pub fn record_end(&mut self, server: ServerKey) {
        if let Some(seat) = self.seats.get_mut(&server) {
            seat.in_flight = seat.in_flight.saturating_sub(1);
        }
    }

    /// Notes an answer, and the load that it told.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        is_good: bool,
        load: Option<ServerLoad>,
    ) {
        let seat = self.seats.entry(server).or_default();
        seat.health.record_answer(is_good);
        if let Some(load) = load {
            seat.told = Some((now, load));
        }
    }

    /// Notes that a server could not be reached, or went silent.
    pub fn record_failure(&mut self, now: Timestamp, server: ServerKey) {
        let seat = self.seats.entry(server).or_default();
        seat.health.record_unreachable(now);
    }

    /// Forgets a server that is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.seats.remove(&server);
    }

    fn cost(
        &self,
        now: Timestamp,
        query: &PlainQuery<'_>,
        key: ServerKey,
        server: &RegisteredServer,
    ) -> f64 {
        let seat = self.seats.get(&key).copied().unwrap_or_default();
        let told = seat.told.filter(|(at, _)| now.since(*at) < LOAD_SPAN);
        let told = told.map(|(_, load)| load);
        let slots = told
            .map(|load| f64::from(load.slots))
            .or(server.registration.slots.map(f64::from))
            .unwrap_or(FIRST_SLOTS)
            .max(1.0);
        let elsewhere = told.map_or(0.0, |load| f64::from(load.running + load.waiting));
        let used = f64::from(seat.in_flight).max(elsewhere) / slots;
        let zone = if server.registration.zone == query.zone {
            0.0
        } else {
            OTHER_ZONE
        };
        let avoided = if seat.health.is_avoided(now) {
            1.0
        } else {
            0.0
        };
        let failing = seat.health.failure_share().max(avoided);
        used + zone + FAILURE_COST * failing
    }

    fn refusal(&mut self, reason: RefusalReason, detail: &str) -> RequestRefusal {
        let spread = self.random.random_range(1.0..2.0);
        RequestRefusal::not_run(reason, detail).retry_after(MIN_RETRY.mul_f64(spread))
    }
}
