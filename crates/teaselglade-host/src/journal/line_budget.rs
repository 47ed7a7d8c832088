//! Rate limit of log lines about requests.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Size of a burst, in seconds of the line rate.
const BURST_SECONDS: f64 = 4.0;
/// Interval between summaries of suppressed lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of ids in one summary; keeps its line below 4 KB.
pub const MAX_SUMMARY_IDS: usize = 200;

/// Suppressed lines of one cause.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SuppressedLines {
    /// Number of lines.
    pub count: u64,
    /// Ids of the first requests among them, at most [`MAX_SUMMARY_IDS`].
    pub ids: Vec<String>,
}

/// Token bucket that limits log lines about requests.
///
/// Lines beyond the limit are summarised by cause once a second with the ids of their requests, so
/// that a refused request can still be found by its id.
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
/// let summary = budget.take_summary(Timestamp::from_millis(2_000));
/// assert_eq!(summary["refused"].count as usize, 1_000 - written);
/// ```
#[derive(Debug)]
pub struct LineBudget {
    lines_per_second: f64,
    tokens: f64,
    refilled_at: Option<Timestamp>,
    suppressed: BTreeMap<&'static str, SuppressedLines>,
    last_summary_at: Option<Timestamp>,
    is_lifted: bool,
}

impl LineBudget {
    /// Creates a budget of `lines_per_second` lines per second.
    #[must_use]
    pub const fn new(lines_per_second: f64) -> Self {
        Self {
            lines_per_second,
            tokens: 0.0,
            refilled_at: None,
            suppressed: BTreeMap::new(),
            last_summary_at: None,
            is_lifted: false,
        }
    }

    /// Returns whether a line may be written; otherwise counts it for the summary.
    pub fn allows(&mut self, now: Timestamp, cause: &'static str, id: &str) -> bool {
        if self.is_lifted {
            return true;
        }
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        let lines = self.suppressed.entry(cause).or_default();
        lines.count += 1;
        if lines.ids.len() < MAX_SUMMARY_IDS {
            lines.ids.push(id.to_owned());
        }
        false
    }

    /// Takes the suppressed lines by cause, if a summary is due.
    pub fn take_summary(&mut self, now: Timestamp) -> BTreeMap<&'static str, SuppressedLines> {
        let last_summary_at = *self.last_summary_at.get_or_insert(now);
        if self.suppressed.is_empty()
            || (now.since(last_summary_at) < SUMMARY_INTERVAL && last_summary_at != now)
        {
            return BTreeMap::new();
        }
        self.last_summary_at = Some(now);
        std::mem::take(&mut self.suppressed)
    }

    /// Allows every later line and takes the lines suppressed so far, by cause.
    pub fn lift(&mut self) -> BTreeMap<&'static str, SuppressedLines> {
        self.is_lifted = true;
        std::mem::take(&mut self.suppressed)
    }

    fn refill(&mut self, now: Timestamp) {
        let capacity = self.lines_per_second * BURST_SECONDS;
        let Some(refilled_at) = self.refilled_at else {
            self.refilled_at = Some(now);
            self.tokens = capacity;
            return;
        };
        let refilled = self.lines_per_second * now.since(refilled_at).as_secs_f64();
        self.tokens = (self.tokens + refilled).min(capacity);
        self.refilled_at = Some(refilled_at.max(now));
    }
}
