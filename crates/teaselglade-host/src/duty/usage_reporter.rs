//! Decides usage reports in the log and sends them to the platform.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{LogPort, StreamName};
use teaselglade_routing::usage::WindowCounts;
use teaselglade_state::lease::LeaseNumber;
use tracing::info;

use super::{ReportLog, ReportRecord, TermGuard};
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
    pub(super) number: LeaseNumber,
    pub(super) guard: TermGuard,
    pub(super) reports: ReportLog,
    pub(super) reported_windows: BTreeSet<u64>,
    pub(super) oldest_window: u64,
    pub(super) current_window: u64,
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
        let is_current = self.read_to_end().await && self.restore_decisions().await;
        if let Some(counts) = due.filter(|_| is_current) {
            self.decide(&counts).await;
        }
        let is_fenced = self.send_unreported().await;
        (self.reports, self.reported_windows, is_fenced)
    }

    /// Writes remembered decisions that the log lost, and opens windows where it shows none.
    ///
    /// Returns whether the log holds all of them now, so that new windows may be decided.
    async fn restore_decisions(&mut self) -> bool {
        let lost: Vec<WindowCounts> = self
            .reports
            .unlogged_since(self.oldest_window)
            .cloned()
            .collect();
        for counts in &lost {
            info!(event = "usage_written_again", window = counts.window);
            self.append(&ReportRecord::repetition(counts)).await;
        }
        if !lost.is_empty() && !self.read_to_end().await {
            return false;
        }
        if self.reports.first_open().is_none() {
            let (window, offset) = (self.current_window, self.reports.next_offset());
            info!(event = "usage_opened", window);
            self.append(&ReportRecord::opening(window, offset)).await;
            self.read_to_end().await;
        }
        let is_complete = self
            .reports
            .unlogged_since(self.oldest_window)
            .next()
            .is_none();
        is_complete && self.reports.first_open().is_some()
    }

    /// Appends a report and reads the log; the first record of the window is authoritative.
    ///
    /// Has no effect for a window that another leader may have decided in a history that the log
    /// lost: its report may have been sent with other counts.
    async fn decide(&mut self, counts: &WindowCounts) {
        let window = counts.window;
        if self.reports.decided(window).is_some() {
            return;
        }
        if !self.reports.is_open(window) {
            info!(event = "usage_skipped", window);
            return;
        }
        info!(event = "usage_decided", window, counts = ?counts.counts);
        let record = ReportRecord::decision(counts, self.reports.next_offset());
        self.append(&record).await;
        self.read_to_end().await;
    }

    async fn append(&self, record: &ReportRecord) {
        let Ok(body) = rmp_serde::to_vec(record) else {
            return;
        };
        let appended = self.log.append(&StreamName::usage(), body.into()).await;
        self.host.record_result("append_usage", &appended);
    }

    async fn send_unreported(&mut self) -> bool {
        let reports = self.reports.since(self.oldest_window);
        let unsent: Vec<WindowCounts> = reports
            .filter(|counts| !self.reported_windows.contains(&counts.window))
            .cloned()
            .collect();
        for counts in unsent {
            if !self.guard.allows(self.number) {
                info!(
                    event = "duty_withheld",
                    call = "report_usage",
                    window = counts.window
                );
                return false;
            }
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
