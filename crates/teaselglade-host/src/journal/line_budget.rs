//! Bounds the lines that are written about requests.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Seconds' worth of lines about requests that may be written at once.
const BURST_SECONDS: f64 = 4.0;
/// Time after which what was not written is summed up.
const SUMMARY_SPAN: Duration = Duration::from_secs(1);
/// Most ids that one summary names; a line stays below 4 KB.
pub const MAX_SUMMARY_IDS: usize = 200;

/// Lines of one cause that were not written.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SuppressedLines {
    /// How many.
    pub count: u64,
    /// Ids of the first requests among them.
    pub ids: Vec<String>,
}

/// Bounds the lines that are written about requests.
///
/// Lines beyond the bound are summed up by cause once a second with the ids of their requests, so
/// that a refused request is still found by its id.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_host::journal::LineBudget;
///
/// let mut budget = LineBudget::new(60.0);
/// let now = Timestamp::from_millis(5);
/// let written = (0..1_000).filter(|_| budget.allows(now, "refused", "9c41")).count();
/// assert!(written < 1_000);
/// let sums = budget.take_summary(Timestamp::from_millis(2_000));
/// assert_eq!(sums["refused"].count as usize, 1_000 - written);
/// ```
#[derive(Debug)]
pub struct LineBudget {
    lines_per_second: f64,
    level: f64,
    filled: Option<Timestamp>,
    suppressed: BTreeMap<&'static str, SuppressedLines>,
    summed: Option<Timestamp>,
}

impl LineBudget {
    /// Makes a budget of this many lines in a second.
    #[must_use]
    pub const fn new(lines_per_second: f64) -> Self {
        Self {
            lines_per_second,
            level: 0.0,
            filled: None,
            suppressed: BTreeMap::new(),
            summed: None,
        }
    }

    /// Returns whether a line may be written; otherwise it is counted for the summary.
    pub fn allows(&mut self, now: Timestamp, cause: &'static str, id: &str) -> bool {
        self.fill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return true;
        }
        let lines = self.suppressed.entry(cause).or_default();
        lines.count += 1;
        if lines.ids.len() < MAX_SUMMARY_IDS {
            lines.ids.push(id.to_owned());
        }
        false
    }

    /// Returns what was not written, by cause, where it is time to sum it up.
    pub fn take_summary(&mut self, now: Timestamp) -> BTreeMap<&'static str, SuppressedLines> {
        let summed = *self.summed.get_or_insert(now);
        if self.suppressed.is_empty() || (now.since(summed) < SUMMARY_SPAN && summed != now) {
            return BTreeMap::new();
        }
        self.summed = Some(now);
        std::mem::take(&mut self.suppressed)
    }

    fn fill(&mut self, now: Timestamp) {
        let most = self.lines_per_second * BURST_SECONDS;
        let Some(filled) = self.filled else {
            self.filled = Some(now);
            self.level = most;
            return;
        };
        let gained = self.lines_per_second * now.since(filled).as_secs_f64();
        self.level = (self.level + gained).min(most);
        self.filled = Some(filled.max(now));
    }
}
