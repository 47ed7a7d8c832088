//! State shared with peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::ListedHost;
use teaselglade_core::time::Timestamp;
use teaselglade_state::membership::{MembershipMachine, MembershipSettings};
use teaselglade_state::table::TableReplica;
use tokio::sync::Notify;

use crate::settings::EntrySettings;

/// Holds the table replica and the membership, which this host shares with its peers.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// Wakes the gossip loop when there are updates to send.
    pub(crate) gossip_wake: Notify,
    replica: Mutex<TableReplica>,
    membership: Mutex<MembershipMachine>,
    is_head_known: AtomicBool,
}

impl SharedState {
    /// Creates the state of a host that starts now.
    pub(crate) fn new(started_at: Timestamp, settings: &EntrySettings, seed: u64) -> Self {
        let host = HostName::new(settings.host.as_str());
        let membership = MembershipSettings::new(settings.cluster.as_str(), host, settings.peers)
            .incarnation(HostIncarnation(started_at.as_millis()))
            .zone(settings.zone.as_str())
            .seed(seed);
        Self {
            gossip_wake: Notify::new(),
            replica: Mutex::new(TableReplica::new(settings.cluster.as_str())),
            membership: Mutex::new(MembershipMachine::new(started_at, membership)),
            is_head_known: AtomicBool::new(false),
        }
    }

    /// Locks and returns the replica of the table.
    pub(crate) fn replica(&self) -> MutexGuard<'_, TableReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the membership machine.
    pub(crate) fn membership(&self) -> MutexGuard<'_, MembershipMachine> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the head of the table is known, from the log or from peers.
    pub(crate) fn is_head_known(&self) -> bool {
        self.is_head_known.load(Ordering::Acquire)
    }

    /// Records that the head of the table is known.
    pub(crate) fn set_head_known(&self) {
        self.is_head_known.store(true, Ordering::Release);
    }

    /// Returns the number of other entry hosts that are live.
    pub(crate) fn peer_count(&self) -> usize {
        self.membership().live_members().count()
    }

    /// Marks the listed hosts that the membership knows as leaving.
    pub(crate) fn mark_leaving(&self, hosts: &mut [ListedHost]) {
        let membership = self.membership();
        for host in hosts {
            host.leaving |= membership.is_leaving(&host.name, host.incarnation);
        }
    }
}
