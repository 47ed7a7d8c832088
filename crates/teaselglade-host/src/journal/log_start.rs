//! Starts the log of the process.

use std::fmt;
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

/// Lines of this process that were dropped; the log belongs to the process, so does its counter.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

type SetFilter = Box<dyn Fn(EnvFilter) -> bool + Send + Sync>;

/// Changes which lines are logged while the process runs.
pub struct LogFilter {
    set: SetFilter,
}

impl fmt::Debug for LogFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogFilter").finish_non_exhaustive()
    }
}

impl LogFilter {
    /// Puts a filter in force; returns whether the log still stands.
    ///
    /// # Errors
    ///
    /// Fails where the filter cannot be read; the one before stays in force.
    pub fn set(&self, filter: &str) -> Result<bool, ParseError> {
        Ok((self.set)(EnvFilter::builder().parse(filter)?))
    }
}

/// Keeps the log's writer alive.
#[derive(Debug)]
pub struct LogGuard {
    _writer: WorkerGuard,
    /// Which lines are logged.
    pub filter: LogFilter,
}

/// Returns how many lines were dropped as the reader of standard output was too slow.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED
        .get()
        .map_or(0, |dropped| dropped.dropped_lines() as u64)
}

/// Makes a log that writes one JSON object a line, and what changes its filter.
///
/// # Errors
///
/// Fails where the filter cannot be read.
pub fn json_log<W>(filter: &str, writer: W) -> Result<(tracing::Dispatch, LogFilter), ParseError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::builder().parse(filter)?;
    let builder = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .with_filter_reloading();
    let handle = builder.reload_handle();
    let set: SetFilter = Box::new(move |filter| handle.reload(filter).is_ok());
    Ok((builder.finish().into(), LogFilter { set }))
}

/// Starts writing one JSON object a line to standard output from a thread of its own.
///
/// Lines beyond `queued_lines` that wait for a slow reader are dropped and counted. A second start
/// in one process changes nothing.
///
/// # Errors
///
/// Fails where the filter cannot be read.
pub fn start_log(filter: &str, queued_lines: usize) -> Result<LogGuard, ParseError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(queued_lines)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let (log, filter) = json_log(filter, writer)?;
    if log.try_init().is_err() || DROPPED.set(dropped).is_err() {
        tracing::debug!(event = "log", "the log was started before");
    }
    Ok(LogGuard {
        _writer: guard,
        filter,
    })
}
