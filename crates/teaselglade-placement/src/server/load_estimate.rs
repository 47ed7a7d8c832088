//! Estimated load of one server.

use std::collections::VecDeque;
use std::time::Duration;

use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

/// Assumed age of a report when it arrives.
const REPORT_DELAY: Duration = Duration::from_millis(700);

#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: Timestamp,
    delta: i32,
}

/// Estimates the load of one server from delayed reports and own dispatches.
///
/// Own changes that are too recent to be in the last report are added to it.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    own_running: u32,
    reported: u32,
    recent_changes: VecDeque<LoadChange>,
    recent_delta: i32,
    recent_starts: u32,
}

impl LoadEstimate {
    /// Returns the number of this host's attempts on the server.
    #[must_use]
    pub const fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Returns how many attempts this host started since the last report was measured.
    #[must_use]
    pub const fn recent_starts(&self) -> u32 {
        self.recent_starts
    }

    /// Returns the estimated number of requests on the server, including waiting ones.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let estimate = i64::from(self.reported) + i64::from(self.recent_delta);
        let estimate = u32::try_from(estimate.max(0)).unwrap_or(u32::MAX);
        estimate.max(self.own_running)
    }

    pub(super) fn start(&mut self, now: Timestamp) {
        self.own_running += 1;
        self.recent_starts += 1;
        self.change(now, 1);
    }

    pub(super) fn end(&mut self, now: Timestamp) {
        self.own_running = self.own_running.saturating_sub(1);
        self.change(now, -1);
    }

    pub(super) fn report(&mut self, now: Timestamp, report: &ServerReport) {
        self.reported = report.running + report.waiting;
        while let Some(change) = self.recent_changes.front().copied() {
            if now.since(change.at) < REPORT_DELAY {
                break;
            }
            self.recent_changes.pop_front();
            self.recent_delta -= change.delta;
            self.recent_starts -= u32::from(change.delta > 0);
        }
    }

    fn change(&mut self, at: Timestamp, delta: i32) {
        self.recent_changes.push_back(LoadChange { at, delta });
        self.recent_delta += delta;
    }
}
