//! Decides usage reports in the log and sends them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{LogPort, StreamName};
use teaselglade_routing::usage::WindowCounts;
use tracing::info;

use super::ReportLog;
use crate::port::{DutyError, DutyPort, LeaderTerm};
use crate::state::HostState;

/// Most records of one read.
const PAGE_RECORDS: u32 = 512;

/// Decides a window's report in the log and sends what was decided.
pub(super) struct UsageReporter {
    pub(super) host: Arc<HostState>,
    pub(super) port: Arc<dyn DutyPort>,
    pub(super) log: Arc<dyn LogPort>,
    pub(super) term: LeaderTerm,
    pub(super) reports: ReportLog,
    pub(super) reported: BTreeSet<u64>,
    pub(super) oldest: u64,
}

impl UsageReporter {
    /// Returns the decided reports, the sent ones, and whether another host holds the duties.
    pub(super) async fn run(
        mut self,
        due: Option<WindowCounts>,
    ) -> (ReportLog, BTreeSet<u64>, bool) {
        let is_current = self.read_on().await;
        if let Some(counts) = due.filter(|_| is_current)
            && self.reports.decided(counts.window).is_none()
        {
            self.decide(&counts).await;
        }
        let is_fenced = self.send_decided().await;
        (self.reports, self.reported, is_fenced)
    }

    /// Appends a report; what the log then tells first of the window counts.
    async fn decide(&mut self, counts: &WindowCounts) {
        let Ok(body) = rmp_serde::to_vec(counts) else {
            return;
        };
        let appended = self.log.append(&StreamName::usage(), body.into()).await;
        self.host.record_result("append_usage", &appended);
        info!(event = "usage_decided", window = counts.window, counts = ?counts.counts);
        self.read_on().await;
    }

    async fn send_decided(&mut self) -> bool {
        let decided = self.reports.since(self.oldest);
        let unsent: Vec<WindowCounts> = decided
            .filter(|counts| !self.reported.contains(&counts.window))
            .cloned()
            .collect();
        for counts in unsent {
            let sent = self.port.report_usage(&self.term, &counts).await;
            self.host.record_result("report_usage", &sent);
            match sent {
                Ok(()) => {
                    info!(event = "usage_reported", window = counts.window);
                    self.reported.insert(counts.window);
                }
                Err(DutyError::Fenced { .. } | DutyError::NoCapacity { .. }) => return true,
                Err(_failed) => {}
            }
        }
        false
    }

    /// Reads the decided reports up to the end of the log; returns whether it got there.
    async fn read_on(&mut self) -> bool {
        loop {
            let from = self.reports.next_offset();
            let stream = StreamName::usage();
            let read = self
                .log
                .read(&stream, from, PAGE_RECORDS, Duration::ZERO)
                .await;
            self.host.record_result("read_usage", &read);
            match read {
                Ok(page) if self.reports.on_page(&page) => return true,
                Ok(_page) => {}
                Err(_failed) => return false,
            }
        }
    }
}
