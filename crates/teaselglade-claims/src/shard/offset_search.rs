//! Binary search for the first relevant record of a shard.

use std::time::Duration;

use teaselglade_core::port::LogPage;
use teaselglade_core::time::Timestamp;

/// Next step of an offset search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchStep {
    /// Reads the offsets of the first record and of the end.
    Bounds,
    /// Reads the last record's time.
    LastRecord { first: u64, end: u64 },
    /// Bisects the offsets from `low` to `high`.
    Bisect {
        low: u64,
        high: u64,
        last: Timestamp,
    },
}

/// Binary search for the first relevant record of a shard, by the log's clock.
///
/// Skips records that were appended more than `retention` before the last record. The log's clock
/// is at or past the last record's time, so the key of a skipped record can no longer be claimed.
#[derive(Debug, Clone, Copy)]
pub(super) struct OffsetSearch {
    step: SearchStep,
    retention: Duration,
    max_scan_records: u64,
}

impl OffsetSearch {
    /// Creates a search that stops at most `max_scan_records` before the first relevant record.
    pub(super) const fn new(retention: Duration, max_scan_records: u64) -> Self {
        Self {
            step: SearchStep::Bounds,
            retention,
            max_scan_records,
        }
    }

    /// Returns the offset of the record to read next.
    pub(super) const fn probe_offset(&self) -> u64 {
        match self.step {
            SearchStep::Bounds => 0,
            SearchStep::LastRecord { end, .. } => end - 1,
            SearchStep::Bisect { low, high, .. } => low + (high - low) / 2,
        }
    }

    /// Applies the page read at the probe offset and returns the offset to start at, once found.
    pub(super) fn on_page(&mut self, page: &LogPage) -> Option<u64> {
        let record = page.records.first();
        self.step = match (self.step, record) {
            (SearchStep::Bounds, _) if page.end - page.first <= self.max_scan_records => {
                return Some(page.first);
            }
            (SearchStep::Bounds, _) => SearchStep::LastRecord {
                first: page.first,
                end: page.end,
            },
            (_, None) => SearchStep::Bounds,
            (SearchStep::LastRecord { first, end }, Some(record)) => SearchStep::Bisect {
                low: first,
                high: end - 1,
                last: record.appended,
            },
            (SearchStep::Bisect { low, high, last }, Some(record)) => {
                let is_expired = record.appended + self.retention < last;
                let (low, high) = if is_expired {
                    (record.offset + 1, high)
                } else {
                    (low, self.probe_offset())
                };
                SearchStep::Bisect { low, high, last }
            }
        };
        match self.step {
            SearchStep::Bisect { low, high, .. }
                if high.saturating_sub(low) <= self.max_scan_records =>
            {
                Some(low)
            }
            _ => None,
        }
    }
}
