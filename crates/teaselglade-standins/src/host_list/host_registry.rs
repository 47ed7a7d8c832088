//! Hosts of the host list, whose changes become visible after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use teaselglade_wire::HostEntry;
use tokio::time::Instant;

#[derive(Debug)]
enum HostChange {
    Put(HostEntry),
    Remove(String),
}

#[derive(Debug, Default)]
struct RegistryState {
    lag: Duration,
    visible: BTreeMap<String, HostEntry>,
    pending: VecDeque<(Instant, HostChange)>,
}

/// Holds the hosts of the host list and delays changes by a lag.
#[derive(Debug, Default)]
pub struct HostRegistry {
    state: Mutex<RegistryState>,
}

impl HostRegistry {
    /// Sets the lag of later changes.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds or replaces a host.
    pub fn put(&self, host: HostEntry) {
        self.enqueue(HostChange::Put(host));
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        self.enqueue(HostChange::Remove(name.to_owned()));
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let found = self.latest_entry(name);
        if let Some(host) = found {
            self.put(HostEntry {
                leaving: true,
                ..host
            });
        }
    }

    /// Returns the hosts that are visible now, by name.
    #[must_use]
    pub fn visible_hosts(&self) -> Vec<HostEntry> {
        let mut state = self.lock();
        state.apply_due_changes();
        state.visible.values().cloned().collect()
    }

    fn latest_entry(&self, name: &str) -> Option<HostEntry> {
        let state = self.lock();
        let pending = state
            .pending
            .iter()
            .rev()
            .find_map(|(_, change)| match change {
                HostChange::Put(host) if host.name == name => Some(host.clone()),
                _ => None,
            });
        pending.or_else(|| state.visible.get(name).cloned())
    }

    fn enqueue(&self, change: HostChange) {
        let mut state = self.lock();
        let visible_at = Instant::now() + state.lag;
        state.pending.push_back((visible_at, change));
        state.apply_due_changes();
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RegistryState {
    fn apply_due_changes(&mut self) {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            match self.pending.pop_front() {
                Some((_, HostChange::Put(host))) => {
                    self.visible.insert(host.name.clone(), host);
                }
                Some((_, HostChange::Remove(name))) => {
                    self.visible.remove(&name);
                }
                None => {}
            }
        }
    }
}
