//! Decides usage reports in the log and sends them to the platform.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{LogPort, StreamName};
use teaselglade_routing::usage::WindowCounts;
use tracing::info;

use super::ReportLog;
use crate::port::{DutyError, DutyPort, LeaderTerm};
use crate::state::HostState;

/// Maximum number of records in one read.
const MAX_PAGE_RECORDS: u32 = 512;

/// Decides the usage report of a window in the log and sends the decided reports.
pub(super) struct UsageReporter {
    pub(super) host: Arc<HostState>,
    pub(super) port: Arc<dyn DutyPort>,
    pub(super) log: Arc<dyn LogPort>,
    pub(super) term: LeaderTerm,
    pub(super) reports: ReportLog,
    pub(super) reported_windows: BTreeSet<u64>,
    pub(super) oldest_window: u64,
}

impl UsageReporter {
    /// Decides the report that is due, if any, and sends decided reports.
    ///
    /// Returns the decided reports, the windows reported so far, and whether the platform
    /// fenced this host because another one is the leader.
    pub(super) async fn run(
        mut self,
        due: Option<WindowCounts>,
    ) -> (ReportLog, BTreeSet<u64>, bool) {
        let is_current = self.read_to_end().await;
        if let Some(counts) = due.filter(|_| is_current)
            && self.reports.decided(counts.window).is_none()
        {
            self.decide(&counts).await;
        }
        let is_fenced = self.send_unreported().await;
        (self.reports, self.reported_windows, is_fenced)
    }

    /// Appends a report and reads the log; the first record of the window is authoritative.
    async fn decide(&mut self, counts: &WindowCounts) {
        let Ok(body) = rmp_serde::to_vec(counts) else {
            return;
        };
        let appended = self.log.append(&StreamName::usage(), body.into()).await;
        self.host.record_result("append_usage", &appended);
        info!(event = "usage_decided", window = counts.window, counts = ?counts.counts);
        self.read_to_end().await;
    }

    async fn send_unreported(&mut self) -> bool {
        let reports = self.reports.since(self.oldest_window);
        let unsent: Vec<WindowCounts> = reports
            .filter(|counts| !self.reported_windows.contains(&counts.window))
            .cloned()
            .collect();
        for counts in unsent {
            let result = self.port.report_usage(&self.term, &counts).await;
            self.host.record_result("report_usage", &result);
            match result {
                Ok(()) => {
                    info!(event = "usage_reported", window = counts.window);
                    self.reported_windows.insert(counts.window);
                }
                Err(DutyError::Fenced { .. } | DutyError::NoCapacity { .. }) => return true,
                Err(_failed) => {}
            }
        }
        false
    }

    /// Reads decided reports up to the end of the log; returns whether the end was reached.
    async fn read_to_end(&mut self) -> bool {
        loop {
            let from = self.reports.next_offset();
            let stream = StreamName::usage();
            let read = self
                .log
                .read(&stream, from, MAX_PAGE_RECORDS, Duration::ZERO)
                .await;
            self.host.record_result("read_usage", &read);
            match read {
                Ok(page) if self.reports.apply_page(&page) => return true,
                Ok(_page) => {}
                Err(_failed) => return false,
            }
        }
    }
}
