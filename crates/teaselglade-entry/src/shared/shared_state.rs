//! What this host shares with its peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::ListedHost;
use teaselglade_core::time::Timestamp;
use teaselglade_state::membership::{MembershipMachine, MembershipSettings};
use teaselglade_state::table::TableReplica;
use tokio::sync::Notify;

use crate::settings::EntrySettings;

/// What this host shares with its peers.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// Wakes the exchange when there is news to push.
    pub(crate) news: Notify,
    replica: Mutex<TableReplica>,
    membership: Mutex<MembershipMachine>,
    is_head_known: AtomicBool,
}

impl SharedState {
    /// Makes the state of a host that starts now.
    pub(crate) fn new(started: Timestamp, settings: &EntrySettings, seed: u64) -> Self {
        let host = HostName::new(settings.host.as_str());
        let membership = MembershipSettings::new(settings.cluster.as_str(), host, settings.peers)
            .incarnation(HostIncarnation(started.as_millis()))
            .zone(settings.zone.as_str())
            .seed(seed);
        Self {
            news: Notify::new(),
            replica: Mutex::new(TableReplica::new(settings.cluster.as_str())),
            membership: Mutex::new(MembershipMachine::new(started, membership)),
            is_head_known: AtomicBool::new(false),
        }
    }

    /// Returns the copy of the table.
    pub(crate) fn replica(&self) -> MutexGuard<'_, TableReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the membership.
    pub(crate) fn membership(&self) -> MutexGuard<'_, MembershipMachine> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the head of the table was learnt since the start.
    pub(crate) fn is_head_known(&self) -> bool {
        self.is_head_known.load(Ordering::Acquire)
    }

    /// Notes that the head of the table was learnt.
    pub(crate) fn set_head_known(&self) {
        self.is_head_known.store(true, Ordering::Release);
    }

    /// Returns how many other entry hosts answer.
    pub(crate) fn peer_count(&self) -> usize {
        self.membership().live_members().count()
    }

    /// Marks the hosts of a list that peers know to be leaving.
    pub(crate) fn mark_leaving(&self, hosts: &mut [ListedHost]) {
        let membership = self.membership();
        for host in hosts {
            host.leaving |= membership.is_leaving(&host.name, host.incarnation);
        }
    }
}
