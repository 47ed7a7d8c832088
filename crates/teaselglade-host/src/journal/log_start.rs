//! Starts the log of the process.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

/// Lines that wait to be written; later ones are dropped and counted.
const QUEUED_LINES: usize = 2_000;

/// Keeps the log's writer alive.
#[derive(Debug)]
pub struct LogGuard {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns how many lines were dropped as the reader of standard output was too slow.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts writing one JSON object a line to standard output from a thread of its own.
///
/// A second start in one process changes nothing.
///
/// # Errors
///
/// Fails where the filter cannot be read.
pub fn start_log(filter: &str) -> Result<LogGuard, ParseError> {
    let filter = EnvFilter::builder().parse(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    if started.is_err() {
        tracing::debug!(event = "log", "the log was started before");
    }
    Ok(LogGuard {
        _writer: guard,
        dropped,
    })
}
