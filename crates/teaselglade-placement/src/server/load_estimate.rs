//! Load of one server, from late reports and own dispatches.

use std::collections::VecDeque;
use std::time::Duration;

use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

/// Age that a report is taken to have when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(700);

#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: Timestamp,
    delta: i32,
}

/// Load of one server, from late reports and own dispatches.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    own_running: u32,
    reported: u32,
    recent: VecDeque<LoadChange>,
    recent_sum: i32,
    recent_starts: u32,
}

impl LoadEstimate {
    /// Returns how many attempts of this host the server runs.
    #[must_use]
    pub const fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Returns how many attempts this host started since the last report was taken.
    #[must_use]
    pub const fn recent_starts(&self) -> u32 {
        self.recent_starts
    }

    /// Returns the requests that the server has, waiting ones included.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let estimate = i64::from(self.reported) + i64::from(self.recent_sum);
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
        while let Some(change) = self.recent.front().copied() {
            if now.since(change.at) < REPORT_LAG {
                break;
            }
            self.recent.pop_front();
            self.recent_sum -= change.delta;
            self.recent_starts -= u32::from(change.delta > 0);
        }
    }

    fn change(&mut self, at: Timestamp, delta: i32) {
        self.recent.push_back(LoadChange { at, delta });
        self.recent_sum += delta;
    }
}
