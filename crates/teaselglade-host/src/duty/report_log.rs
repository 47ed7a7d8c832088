//! Usage reports decided in the log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use teaselglade_core::port::LogPage;
use teaselglade_routing::usage::WindowCounts;

/// Record of the stream of usage reports.
///
/// A record that names its own offset was written by a leader that had read the stream to its end
/// in the same history. In an older copy from which the log returned, it has another offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRecord {
    /// Window of the report, or first window that may be decided.
    window: u64,
    /// Number of requests that began to run, by organisation.
    counts: BTreeMap<String, u64>,
    /// Offset that the writer expected; none for a report that is written again.
    #[serde(default)]
    expected_offset: Option<u64>,
    /// Whether the record decides nothing and only opens the windows from `window` on.
    #[serde(default)]
    is_opening: bool,
}

impl ReportRecord {
    /// Creates the decision of a window, to be appended at `offset`.
    #[must_use]
    pub fn decision(counts: &WindowCounts, offset: u64) -> Self {
        Self {
            expected_offset: Some(offset),
            ..Self::repetition(counts)
        }
    }

    /// Creates the copy of a decision that the log lost.
    #[must_use]
    pub fn repetition(counts: &WindowCounts) -> Self {
        Self {
            window: counts.window,
            counts: counts.counts.clone(),
            expected_offset: None,
            is_opening: false,
        }
    }

    /// Creates the record, to be appended at `offset`, that opens the windows from `window` on.
    #[must_use]
    pub fn opening(window: u64, offset: u64) -> Self {
        Self {
            window,
            counts: BTreeMap::new(),
            expected_offset: Some(offset),
            is_opening: true,
        }
    }
}

/// Usage reports decided in the log, by window.
///
/// The first record of a window is authoritative, whichever host wrote it. All leaders thus send
/// the same report for a window, even if one was paused between its decision and the call.
///
/// When the log returns from an older copy, decisions may be missing although they were sent. A
/// window is therefore decided only if the log shows that it was open in the current history.
/// Decisions that this host or a peer remembers are written again.
///
/// # Examples
///
/// ```
/// use teaselglade_host::duty::ReportLog;
///
/// let log = ReportLog::default();
/// assert_eq!(log.next_offset(), 0);
/// assert!(log.decided(7).is_none());
/// assert!(!log.is_open(7));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReportLog {
    next_offset: u64,
    decided: BTreeMap<u64, WindowCounts>,
    /// Windows whose decision the log holds in its current history.
    logged: BTreeSet<u64>,
    /// First window that no leader decided before the current history.
    first_open: Option<u64>,
}

impl ReportLog {
    /// Returns the offset of the next record to read.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Applies a page of the log and returns whether it reached the end.
    pub fn apply_page(&mut self, page: &LogPage) -> bool {
        if page.first > self.next_offset {
            self.next_offset = page.first;
            self.logged.clear();
            self.first_open = None;
        }
        for record in &page.records {
            if record.offset < self.next_offset {
                continue;
            }
            self.next_offset = record.offset + 1;
            // An unreadable record is skipped, by every reader alike.
            if let Ok(report) = rmp_serde::from_slice::<ReportRecord>(&record.body) {
                self.apply_record(record.offset, report);
            }
        }
        self.next_offset >= page.end
    }

    /// Adds a decision that a peer remembers.
    pub fn remember(&mut self, counts: WindowCounts) {
        self.decided.entry(counts.window).or_insert(counts);
    }

    /// Returns the report decided for a window.
    #[must_use]
    pub fn decided(&self, window: u64) -> Option<&WindowCounts> {
        self.decided.get(&window)
    }

    /// Returns whether no leader can have decided a window before the log's current history.
    #[must_use]
    pub fn is_open(&self, window: u64) -> bool {
        self.first_open.is_some_and(|first| window >= first)
    }

    /// Returns the first window that may be decided, if the log shows one.
    #[must_use]
    pub const fn first_open(&self) -> Option<u64> {
        self.first_open
    }

    /// Returns the reports decided for `window` and later windows.
    pub fn since(&self, window: u64) -> impl Iterator<Item = &WindowCounts> {
        self.decided.range(window..).map(|(_, counts)| counts)
    }

    /// Returns the reports decided for `window` and later windows that the log does not hold.
    pub fn unlogged_since(&self, window: u64) -> impl Iterator<Item = &WindowCounts> {
        self.since(window)
            .filter(|counts| !self.logged.contains(&counts.window))
    }

    fn apply_record(&mut self, offset: u64, report: ReportRecord) {
        let window = report.window;
        if report.expected_offset == Some(offset) {
            self.first_open = Some(self.first_open.map_or(window, |first| first.min(window)));
        }
        if report.is_opening {
            return;
        }
        self.logged.insert(window);
        self.remember(WindowCounts {
            window,
            counts: report.counts,
        });
    }
}
