//! An incarnation of a backend server that a host knows.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{ServerDeparture, ServerRegistration, StorePosition, UpdateScope};

/// Time for which a changed registration is gossiped: several digests, because some are lost.
pub(super) const UPDATE_GOSSIP_TTL: Duration = Duration::from_millis(1_500);

/// Phase of one incarnation of a server: whether it accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// The server accepts new work.
    Ready,
    /// The registration vanished while the store was unreachable.
    ///
    /// The server accepts new work unless the registration stays missing.
    Expired {
        /// Time at which the server is removed.
        remove_at: Timestamp,
        /// Position of the removal in the store.
        position: StorePosition,
    },
    /// The server leaves or is gone; this phase is final.
    Leaving,
}

/// From where a host knows the latest change of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// The store, or the server itself.
    Local,
    Peer,
    /// The first listing of all servers.
    FirstListing,
}

/// A known incarnation of a server.
#[derive(Debug, Clone)]
pub struct RegisteredServer {
    /// Latest registration of the incarnation.
    pub registration: ServerRegistration,
    /// Hash of the server's name, which identifies it in messages between hosts.
    pub hash: u64,
    /// Whether the server accepts new work.
    pub phase: ServerPhase,
    /// Time at which this host observed that the server leaves.
    pub(super) leaving_since: Option<Timestamp>,
    /// Whether the server itself registered that it drains.
    pub(super) has_drained: bool,
    /// Whether the registration is removed as well.
    pub is_removed: bool,
    /// Time of the last change apart from the heartbeat.
    pub(super) changed_at: Timestamp,
    /// From where this host knows the latest change.
    pub(super) origin: ChangeOrigin,
    /// Time until which the server wants no requests from this host.
    pub(super) resting_until: Timestamp,
    /// Time until which this host gets no permit to send to the server, which is limited.
    pub(super) permit_denied_until: Timestamp,
    pub(super) incarnation_hash: u64,
    pub(super) version_hash: u64,
}

impl RegisteredServer {
    /// Returns the hash of the server's name and start time, which identifies this incarnation.
    #[must_use]
    pub const fn incarnation_hash(&self) -> u64 {
        self.incarnation_hash
    }

    /// Returns the hash of the version that the server runs.
    #[must_use]
    pub const fn version_hash(&self) -> u64 {
        self.version_hash
    }

    /// Returns why this host may not send to the server now, and for how long.
    #[must_use]
    pub fn wait(&self, now: Timestamp) -> Option<(&'static str, Duration)> {
        let reason = if self.resting_until > now {
            "resting"
        } else {
            "permit denied"
        };
        let wait = self.available_from().since(now);
        (!wait.is_zero()).then_some((reason, wait))
    }

    /// Returns from when on this host may send to the server.
    pub(super) fn available_from(&self) -> Timestamp {
        self.resting_until.max(self.permit_denied_until)
    }

    /// Returns whether the registration changed recently.
    ///
    /// A departure says what a draining registration says, in a third of the bytes.
    pub(super) fn is_update(&self, now: Timestamp) -> bool {
        self.leaving_since.is_none() && now.since(self.changed_at) < UPDATE_GOSSIP_TTL
    }

    pub(super) const fn is_in_scope(&self, scope: UpdateScope) -> bool {
        matches!(scope, UpdateScope::All) || !matches!(self.origin, ChangeOrigin::Peer)
    }

    /// Returns the departure of the incarnation, whose registration was removed at this position.
    pub(super) fn departure(&self, removed_at: StorePosition) -> ServerDeparture {
        ServerDeparture {
            id: self.registration.id.clone(),
            started_at_ms: self.registration.started_at_ms,
            heartbeat: self.registration.heartbeat,
            is_removed: self.is_removed && !self.has_drained,
            registered_at: self.registration.position,
            removed_at,
        }
    }
}
