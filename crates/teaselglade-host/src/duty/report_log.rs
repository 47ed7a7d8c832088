//! Usage reports as they were decided, in the order of the log.

use std::collections::BTreeMap;

use teaselglade_core::port::LogPage;
use teaselglade_routing::usage::WindowCounts;

/// Usage reports as they were decided, in the order of the log.
///
/// The first record of a window counts, whoever wrote it; so all holders send the same report for
/// a window, also where one of them was paused between its decision and the call.
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
    next: u64,
    decided: BTreeMap<u64, WindowCounts>,
}

impl ReportLog {
    /// Returns the offset to read from next.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Takes in a page of the log and returns whether it reached the end.
    pub fn on_page(&mut self, page: &LogPage) -> bool {
        self.next = self.next.max(page.first);
        for record in &page.records {
            if record.offset < self.next {
                continue;
            }
            self.next = record.offset + 1;
            // A record that cannot be read decided nothing, for any reader.
            if let Ok(counts) = rmp_serde::from_slice::<WindowCounts>(&record.body) {
                self.decided.entry(counts.window).or_insert(counts);
            }
        }
        self.next >= page.end
    }

    /// Returns the report that was decided for a window.
    #[must_use]
    pub fn decided(&self, window: u64) -> Option<&WindowCounts> {
        self.decided.get(&window)
    }

    /// Returns the decided reports from a window on.
    pub fn since(&self, window: u64) -> impl Iterator<Item = &WindowCounts> {
        self.decided.range(window..).map(|(_, counts)| counts)
    }
}
