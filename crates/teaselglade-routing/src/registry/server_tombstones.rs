//! Tombstones of departed servers, which reject older registrations.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{RegistrationState, ServerDeparture, ServerRegistration, StorePosition};

/// Time for which a tombstone rejects registrations.
///
/// Delayed heartbeats and gossip of a departed server arrive within seconds; an older copy of the
/// store may list it for some minutes.
const TOMBSTONE_TTL: Duration = Duration::from_mins(10);

/// What a tombstone says of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TombstoneVerdict {
    /// The registration is newer than the departure.
    Newer,
    /// The incarnation drains or drained, whatever it registers.
    Draining,
    /// The registration is older than the departure.
    Outdated,
}

/// What is known of the departures of one server.
///
/// Every field only grows, so that the order in which news arrives makes no difference.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ServerTombstone {
    /// Start of the latest incarnation that departed; 0 if it is unknown.
    started_at_ms: u64,
    /// Highest heartbeat of that incarnation.
    heartbeat: u64,
    /// Position of the registration with that heartbeat.
    registered_at: StorePosition,
    /// Whether that incarnation drained.
    has_drained: bool,
    /// Position of the latest removal, of any incarnation.
    removed_at: StorePosition,
}

impl ServerTombstone {
    /// Joins two tombstones of one server.
    fn join(self, other: Self) -> Self {
        let removed_at = self.removed_at.max(other.removed_at);
        let latest = if self.started_at_ms < other.started_at_ms {
            other
        } else {
            self
        };
        let is_same = self.started_at_ms == other.started_at_ms;
        let last = |tombstone: Self| (tombstone.heartbeat, tombstone.registered_at);
        let (heartbeat, registered_at) = if is_same {
            last(self).max(last(other))
        } else {
            last(latest)
        };
        Self {
            started_at_ms: latest.started_at_ms,
            heartbeat,
            registered_at,
            has_drained: latest.has_drained || (is_same && other.has_drained),
            removed_at,
        }
    }

    /// Compares a registration with the departure; docs/design/news.md has the rule as a table.
    fn judge(&self, registration: &ServerRegistration) -> TombstoneVerdict {
        let position = registration.position;
        let (started_at_ms, heartbeat) = (registration.started_at_ms, registration.heartbeat);
        let has_positions = position.is_known() && self.removed_at.is_known();
        if has_positions && position <= self.removed_at || started_at_ms < self.started_at_ms {
            return TombstoneVerdict::Outdated;
        }
        if started_at_ms > self.started_at_ms {
            return TombstoneVerdict::Newer;
        }
        if self.has_drained {
            return TombstoneVerdict::Draining;
        }
        // A store that returns lists old registrations in a later era, at their old offsets.
        let is_from_copy = position.is_of_later_era(self.removed_at)
            && heartbeat == self.heartbeat
            && !position.has_higher_offset(self.registered_at);
        let is_outdated = if has_positions {
            heartbeat < self.heartbeat || is_from_copy
        } else {
            heartbeat <= self.heartbeat
        };
        if is_outdated {
            TombstoneVerdict::Outdated
        } else {
            TombstoneVerdict::Newer
        }
    }
}

/// Tombstones of departed servers, by name.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerTombstones {
    by_id: HashMap<String, (ServerTombstone, Timestamp)>,
}

impl ServerTombstones {
    /// Returns what the tombstone of a registration's server says of it.
    pub(super) fn judge(
        &self,
        now: Timestamp,
        registration: &ServerRegistration,
    ) -> TombstoneVerdict {
        match self.by_id.get(&registration.id) {
            Some((tombstone, recorded_at)) if now.since(*recorded_at) < TOMBSTONE_TTL => {
                tombstone.judge(registration)
            }
            _ => TombstoneVerdict::Newer,
        }
    }

    /// Records the departure of an incarnation.
    pub(super) fn record_departure(&mut self, now: Timestamp, departure: &ServerDeparture) {
        let tombstone = ServerTombstone {
            started_at_ms: departure.started_at_ms,
            heartbeat: departure.heartbeat,
            registered_at: departure.registered_at,
            has_drained: !departure.is_removed,
            removed_at: departure.removed_at,
        };
        self.join(now, &departure.id, tombstone);
    }

    /// Records that all registrations of a server up to a position are removed.
    pub(super) fn record_removal(&mut self, now: Timestamp, id: &str, position: StorePosition) {
        let tombstone = ServerTombstone {
            removed_at: position,
            ..ServerTombstone::default()
        };
        self.join(now, id, tombstone);
    }

    /// Records a registration that is older than the departure of its server.
    ///
    /// It does not renew the tombstone: a wrong one would refuse a running server for ever.
    pub(super) fn record_outdated(&mut self, now: Timestamp, registration: &ServerRegistration) {
        let tombstone = ServerTombstone {
            started_at_ms: registration.started_at_ms,
            heartbeat: registration.heartbeat,
            registered_at: registration.position,
            has_drained: registration.state == RegistrationState::Draining,
            removed_at: StorePosition::default(),
        };
        match self.by_id.get_mut(&registration.id) {
            Some((known, _)) => *known = known.join(tombstone),
            None => self.join(now, &registration.id, tombstone),
        }
    }

    /// Adds to a departure what the tombstone of its incarnation knows.
    pub(super) fn complete(&self, departure: ServerDeparture) -> ServerDeparture {
        let tombstone = self
            .by_id
            .get(&departure.id)
            .map(|(tombstone, _)| tombstone);
        match tombstone.filter(|known| known.started_at_ms == departure.started_at_ms) {
            Some(known) => ServerDeparture {
                heartbeat: known.heartbeat,
                registered_at: known.registered_at,
                removed_at: known.removed_at,
                is_removed: departure.is_removed && !known.has_drained,
                ..departure
            },
            None => departure,
        }
    }

    /// Drops the tombstones whose time is over.
    pub(super) fn prune(&mut self, now: Timestamp) {
        self.by_id
            .retain(|_, (_, recorded_at)| now.since(*recorded_at) < TOMBSTONE_TTL);
    }

    fn join(&mut self, now: Timestamp, id: &str, tombstone: ServerTombstone) {
        match self.by_id.get_mut(id) {
            Some((known, recorded_at)) => {
                let joined = known.join(tombstone);
                if joined != *known {
                    (*known, *recorded_at) = (joined, now);
                }
            }
            None => {
                self.by_id.insert(id.to_owned(), (tombstone, now));
            }
        }
    }
}
