//! Hosts as the host list shows them, after a lag.

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
    shown: BTreeMap<String, HostEntry>,
    pending: VecDeque<(Instant, HostChange)>,
}

/// Hosts as the host list shows them, after a lag.
#[derive(Debug, Default)]
pub struct HostRegistry {
    state: Mutex<RegistryState>,
}

impl HostRegistry {
    /// Sets the lag of the changes that follow.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds or replaces a host.
    pub fn put(&self, host: HostEntry) {
        self.change(HostChange::Put(host));
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        self.change(HostChange::Remove(name.to_owned()));
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let found = self.newest(name);
        if let Some(host) = found {
            self.put(HostEntry {
                leaving: true,
                ..host
            });
        }
    }

    /// Returns the hosts that the list shows now.
    #[must_use]
    pub fn shown(&self) -> Vec<HostEntry> {
        let mut state = self.lock();
        state.settle();
        state.shown.values().cloned().collect()
    }

    fn newest(&self, name: &str) -> Option<HostEntry> {
        let state = self.lock();
        let pending = state
            .pending
            .iter()
            .rev()
            .find_map(|(_, change)| match change {
                HostChange::Put(host) if host.name == name => Some(host.clone()),
                _ => None,
            });
        pending.or_else(|| state.shown.get(name).cloned())
    }

    fn change(&self, change: HostChange) {
        let mut state = self.lock();
        let due = Instant::now() + state.lag;
        state.pending.push_back((due, change));
        state.settle();
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RegistryState {
    fn settle(&mut self) {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            match self.pending.pop_front() {
                Some((_, HostChange::Put(host))) => {
                    self.shown.insert(host.name.clone(), host);
                }
                Some((_, HostChange::Remove(name))) => {
                    self.shown.remove(&name);
                }
                None => {}
            }
        }
    }
}
