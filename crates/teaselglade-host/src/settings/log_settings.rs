//! Settings of a host's log.

/// Lines about requests that are written in a second where nothing else is said.
///
/// Three times what a host of the first deployments writes at its usual load.
const LINES_PER_SECOND: f64 = 60.0;
/// Lines that wait for the reader of standard output; about 600 KB.
const QUEUED_LINES: usize = 2_000;

/// Settings of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// Which lines are logged, such as `info`; none where nothing is said.
    pub filter: Option<String>,
    /// Lines about requests that are written in a second; the rest is summed up.
    pub lines_per_second: f64,
    /// Lines that wait for the reader of standard output; later ones are dropped and counted.
    pub queued_lines: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            filter: None,
            lines_per_second: LINES_PER_SECOND,
            queued_lines: QUEUED_LINES,
        }
    }
}
