//! Work per second that the servers of a service prove to do.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::rate_meter::latest_rate;

/// Share of the demand that may be predicted late before servers count as full.
const FULL_LATE_SHARE: f64 = 0.02;
/// Time for which servers must be full before room counts as scarce.
const CONFIRMATION_TIME: Duration = Duration::from_millis(200);
/// Growth of the estimate per second, and per second since servers were full.
///
/// It finds room that became free, the faster the longer nothing shows that servers are full.
const GROWTH_PER_SECOND: f64 = 0.2;
/// Largest ratio of the estimate to the work that servers accept, up to which it grows.
const MAX_UNPROVEN: f64 = 1.2;
/// Time between two proofs that are kept.
///
/// Servers accept less for a moment while a queue drains to a lower limit; a proof from before holds.
const PROOF_WINDOW: Duration = Duration::from_millis(250);
/// Time for which figures of lost servers last.
const SERVER_MEMORY: Duration = Duration::from_millis(800);
/// Weight of a proof above the estimate.
const RAISE_WEIGHT: f64 = 0.5;
/// Weight of a proof below the estimate.
const LOWER_WEIGHT: f64 = 0.35;
/// Share of the room below which demand ends the scarcity.
const END_SHARE: f64 = 0.9;

/// Sums over the hosts of a group, from which the room is learned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomSample {
    /// Work per second that callers ask for, refused requests included.
    pub asked: f64,
    /// Work per second that servers accepted.
    pub used: f64,
    /// Work per second that was refused because all servers were predicted to be late.
    pub late: f64,
    /// Servers that take work, times the fraction of the known hosts that the sums cover.
    pub servers: f64,
    /// Least work per second that a server is known to do.
    pub least_per_server: f64,
}

/// Work per second that the servers of a service prove to do, and whether it is scarce.
///
/// Servers that turn work away prove what they can do by what they accept. The estimate is per
/// server, so that servers lost in a burst lower the room at once.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::share::{RoomEstimate, RoomSample};
///
/// let mut estimate = RoomEstimate::default();
/// let sample = RoomSample {
///     asked: 300.0, used: 200.0, late: 100.0, servers: 4.0, least_per_server: 10.0,
/// };
/// for tenth in 0..10 {
///     estimate.update(Timestamp::from_millis(10_000 + tenth * 100), &sample);
/// }
/// assert_eq!(estimate.scarce_room(), Some(200.0));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct RoomEstimate {
    per_server: f64,
    servers: f64,
    /// Servers that the smoothed figures come from.
    remembered: f64,
    full_since: Option<Timestamp>,
    /// Last time at which servers were full.
    full_at: Option<Timestamp>,
    updated_at: Option<Timestamp>,
    /// Proofs of one and of two windows ago.
    last_proofs: [f64; 2],
    proofs_at: Option<Timestamp>,
    /// Smoothed lateness of the last sample.
    last_late: f64,
    is_scarce: bool,
}

impl RoomEstimate {
    /// Learns from the sums of a group of hosts.
    pub fn update(&mut self, now: Timestamp, sample: &RoomSample) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        self.servers = sample.servers;
        // Servers that were lost just now still have their part in the smoothed figures.
        let kept = (-elapsed.as_secs_f64() / SERVER_MEMORY.as_secs_f64()).exp();
        let remembered = sample.servers + (self.remembered - sample.servers) * kept;
        self.remembered = remembered.max(sample.servers);
        let proven = sample.used / self.remembered.max(f64::MIN_POSITIVE);
        if self
            .proofs_at
            .is_none_or(|at| now.since(at) >= PROOF_WINDOW)
        {
            self.proofs_at = Some(now);
            self.last_proofs = [proven, self.last_proofs[0]];
        }
        let full_late = sample.asked * FULL_LATE_SHARE;
        let is_full = sample.late > full_late;
        // Refusals that ended still have their part in the smoothed lateness. Servers that accept
        // less since then were asked for less, which proves nothing.
        let is_still_full = latest_rate(elapsed, self.last_late, sample.late) > full_late;
        self.last_late = sample.late;
        let full_since = is_full.then(|| *self.full_since.get_or_insert(now));
        self.full_since = full_since;
        self.full_at = full_since.map(|_| now).or(self.full_at);
        let is_confirmed = full_since.is_some_and(|since| now.since(since) >= CONFIRMATION_TIME);
        if !self.is_scarce {
            self.per_server = proven.max(sample.least_per_server);
            self.is_scarce = is_confirmed && sample.asked > self.room();
        } else if is_full {
            let [last, earlier] = self.last_proofs;
            let most_proven = proven.max(last).max(earlier);
            let is_raised = most_proven > self.per_server;
            let weight = match (is_raised, is_still_full) {
                (true, _) => RAISE_WEIGHT,
                (false, true) => LOWER_WEIGHT,
                (false, false) => 0.0,
            };
            self.per_server += weight * (most_proven - self.per_server);
        } else {
            let calm = self.full_at.map_or(Duration::ZERO, |at| now.since(at));
            let growth = GROWTH_PER_SECOND * (1.0 + calm.as_secs_f64());
            let grown = self.per_server * (1.0 + growth * elapsed.as_secs_f64());
            self.per_server = grown.min(self.per_server.max(proven * MAX_UNPROVEN));
        }
        self.per_server = self.per_server.max(sample.least_per_server);
        if sample.asked < self.room() * END_SHARE {
            self.is_scarce = false;
        }
    }

    /// Follows what an aggregator found, which has newer sums.
    pub const fn follow(&mut self, per_server: f64, is_scarce: bool, servers: f64) {
        self.per_server = per_server;
        self.is_scarce = is_scarce;
        self.servers = servers;
        self.updated_at = None;
        self.full_since = None;
        self.full_at = None;
        self.last_late = 0.0;
    }

    /// Returns the work per second of the group, if more is asked for.
    #[must_use]
    pub fn scarce_room(&self) -> Option<f64> {
        self.is_scarce.then(|| self.room())
    }

    /// Returns the work per second of one server.
    #[must_use]
    pub const fn per_server(&self) -> f64 {
        self.per_server
    }

    fn room(&self) -> f64 {
        self.per_server * self.servers
    }
}
