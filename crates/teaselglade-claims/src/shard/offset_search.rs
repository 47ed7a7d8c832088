//! Search for the first record of a shard that can still matter.

use std::time::Duration;

use teaselglade_core::port::LogPage;
use teaselglade_core::time::Timestamp;

/// Where a search stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchStep {
    /// Nothing is known.
    Extent,
    /// The last record is asked for.
    Last { first: u64, end: u64 },
    /// The border lies between both offsets.
    Between {
        low: u64,
        high: u64,
        last: Timestamp,
    },
}

/// Search for the first record of a shard that can still matter, by the log's own clock.
///
/// It passes over records older than `span` before the last record. The log's clock is then at
/// least at the last record, so no key of a passed record can be claimed any more.
#[derive(Debug, Clone, Copy)]
pub(super) struct OffsetSearch {
    step: SearchStep,
    span: Duration,
    short: u64,
}

impl OffsetSearch {
    /// Makes a search that stops within `short` records of the border.
    pub(super) const fn new(span: Duration, short: u64) -> Self {
        Self {
            step: SearchStep::Extent,
            span,
            short,
        }
    }

    /// Returns the offset of the record to read next.
    pub(super) const fn probe(&self) -> u64 {
        match self.step {
            SearchStep::Extent => 0,
            SearchStep::Last { end, .. } => end - 1,
            SearchStep::Between { low, high, .. } => low + (high - low) / 2,
        }
    }

    /// Takes in the page of the probe and returns the offset to start at, once found.
    pub(super) fn on_page(&mut self, page: &LogPage) -> Option<u64> {
        let record = page.records.first();
        self.step = match (self.step, record) {
            (SearchStep::Extent, _) if page.end - page.first <= self.short => {
                return Some(page.first);
            }
            (SearchStep::Extent, _) => SearchStep::Last {
                first: page.first,
                end: page.end,
            },
            (_, None) => SearchStep::Extent,
            (SearchStep::Last { first, end }, Some(record)) => SearchStep::Between {
                low: first,
                high: end - 1,
                last: record.appended,
            },
            (SearchStep::Between { low, high, last }, Some(record)) => {
                let is_passed = record.appended + self.span < last;
                let (low, high) = if is_passed {
                    (record.offset + 1, high)
                } else {
                    (low, self.probe())
                };
                SearchStep::Between { low, high, last }
            }
        };
        match self.step {
            SearchStep::Between { low, high, .. } if high.saturating_sub(low) <= self.short => {
                Some(low)
            }
            _ => None,
        }
    }
}
