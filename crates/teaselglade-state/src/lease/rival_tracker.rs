//! Tracks when records of other processes were last read from the lease stream.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::LeaseChange;

/// Times at which records of other processes were read, on this host's clock.
///
/// An active lease was renewed within its term. A process that has read no record of any other
/// process for longer than the term therefore knows that no other process holds the lease. A
/// process that released the lease stopped acting before that, so its timeout need not be awaited.
#[derive(Debug, Clone, Default)]
pub(super) struct RivalTracker {
    /// Time since which every record was read; before it, an unknown process may have written.
    observed_since: Option<Timestamp>,
    last_seen: BTreeMap<u64, Timestamp>,
}

impl RivalTracker {
    /// Restarts the observation after reading began or records were missed.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.observed_since = Some(now);
    }

    /// Records the effect of a record that was read.
    pub(super) fn record_change(&mut self, now: Timestamp, change: &LeaseChange) {
        match change {
            LeaseChange::Granted { start, .. }
            | LeaseChange::Renewed { start, .. }
            | LeaseChange::Ineffective { start } => {
                self.last_seen.insert(*start, now);
            }
            LeaseChange::Released { start } => {
                self.last_seen.remove(start);
            }
            LeaseChange::Gap | LeaseChange::Malformed => self.restart(now),
        }
    }

    /// Returns whether every other process was silent for `wait`; drops those that were.
    pub(super) fn all_silent(&mut self, now: Timestamp, wait: Duration) -> bool {
        self.last_seen
            .retain(|_, last_seen| now < *last_seen + wait);
        let unknown_silent = self.observed_since.is_some_and(|since| now >= since + wait);
        unknown_silent && self.last_seen.is_empty()
    }
}
