//! Settings of a host's log.

/// Default rate limit of log lines about requests, per second.
///
/// Three times the rate of a host of the first deployments under normal load.
const DEFAULT_LINES_PER_SECOND: f64 = 60.0;
/// Default number of lines queued for the reader of standard output; about 600 KB.
const DEFAULT_QUEUED_LINES: usize = 2_000;

/// Settings of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// Log filter, such as `info`; `None` if it is not set.
    pub filter: Option<String>,
    /// Maximum lines about requests per second; further lines are summarised.
    pub lines_per_second: f64,
    /// Maximum lines queued for standard output; further lines are dropped and counted.
    pub queued_lines: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            filter: None,
            lines_per_second: DEFAULT_LINES_PER_SECOND,
            queued_lines: DEFAULT_QUEUED_LINES,
        }
    }
}
