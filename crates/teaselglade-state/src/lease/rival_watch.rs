//! Watches when other processes were last heard of in the lease stream.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::LeaseChange;

/// Times at which records of other processes were read, on this host's clock.
///
/// A lease that is still in force was renewed within its term, so a process that has read nothing
/// of any other process for longer than the term knows that no other holds it. A process that
/// released the lease stopped before, so it need not be waited for.
#[derive(Debug, Clone, Default)]
pub(super) struct RivalWatch {
    /// Time since which an unknown process may have been silent.
    unknown_since: Option<Timestamp>,
    heard: BTreeMap<u64, Timestamp>,
}

impl RivalWatch {
    /// Notes that reading began, or that records were missed.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.unknown_since = Some(now);
    }

    /// Notes a record that was read.
    pub(super) fn hear(&mut self, now: Timestamp, change: &LeaseChange) {
        match change {
            LeaseChange::Granted { start, .. }
            | LeaseChange::Renewed { start, .. }
            | LeaseChange::Ineffective { start } => {
                self.heard.insert(*start, now);
            }
            LeaseChange::Released { start } => {
                self.heard.remove(start);
            }
            LeaseChange::Gap | LeaseChange::Malformed => self.begin(now),
        }
    }

    /// Returns whether every other process was silent for `wait`, and forgets those that were.
    pub(super) fn all_silent(&mut self, now: Timestamp, wait: Duration) -> bool {
        self.heard.retain(|_, heard| now < *heard + wait);
        let unknown_silent = self.unknown_since.is_some_and(|since| now >= since + wait);
        unknown_silent && self.heard.is_empty()
    }
}
