//! Usage reports decided in the log.

use std::collections::BTreeMap;

use teaselglade_core::port::LogPage;
use teaselglade_routing::usage::WindowCounts;

/// Usage reports decided in the log, by window.
///
/// The first record of a window is authoritative, whichever host wrote it. All leaders thus send
/// the same report for a window, even if one was paused between its decision and the call.
///
/// # Examples
///
/// ```
/// use teaselglade_host::duty::ReportLog;
///
/// let log = ReportLog::default();
/// assert_eq!(log.next_offset(), 0);
/// assert!(log.decided(7).is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReportLog {
    next_offset: u64,
    decided: BTreeMap<u64, WindowCounts>,
}

impl ReportLog {
    /// Returns the offset of the next record to read.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Applies a page of the log and returns whether it reached the end.
    pub fn apply_page(&mut self, page: &LogPage) -> bool {
        self.next_offset = self.next_offset.max(page.first);
        for record in &page.records {
            if record.offset < self.next_offset {
                continue;
            }
            self.next_offset = record.offset + 1;
            // An unreadable record is skipped, by every reader alike.
            if let Ok(counts) = rmp_serde::from_slice::<WindowCounts>(&record.body) {
                self.decided.entry(counts.window).or_insert(counts);
            }
        }
        self.next_offset >= page.end
    }

    /// Returns the report decided for a window.
    #[must_use]
    pub fn decided(&self, window: u64) -> Option<&WindowCounts> {
        self.decided.get(&window)
    }

    /// Returns the reports decided for `window` and later windows.
    pub fn since(&self, window: u64) -> impl Iterator<Item = &WindowCounts> {
        self.decided.range(window..).map(|(_, counts)| counts)
    }
}
