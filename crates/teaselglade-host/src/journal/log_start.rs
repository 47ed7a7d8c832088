//! Start of the process log.

use std::fmt;
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

/// Counter of dropped lines, which is global to the process like the log itself.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

type SetFilter = Box<dyn Fn(EnvFilter) -> bool + Send + Sync>;

/// Handle that changes the log filter at run time.
pub struct LogFilter {
    set: SetFilter,
}

impl fmt::Debug for LogFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogFilter").finish_non_exhaustive()
    }
}

impl LogFilter {
    /// Replaces the filter; returns whether the log still exists.
    ///
    /// # Errors
    ///
    /// Returns an error if the filter cannot be parsed; the previous one stays active.
    pub fn set(&self, filter: &str) -> Result<bool, ParseError> {
        Ok((self.set)(EnvFilter::builder().parse(filter)?))
    }
}

/// Guard that keeps the writer thread of the log alive.
#[derive(Debug)]
pub struct LogGuard {
    _writer: WorkerGuard,
    /// Handle of the log filter.
    pub filter: LogFilter,
}

/// Returns the number of lines dropped for a slow reader of standard output.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES
        .get()
        .map_or(0, |dropped| dropped.dropped_lines() as u64)
}

/// Creates a log of one JSON object per line, and its filter's handle.
///
/// # Errors
///
/// Returns an error if the filter cannot be parsed.
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

/// Starts the process log, which writes one JSON object per line to standard output.
///
/// A separate thread writes the lines. If more than `queued_lines` lines wait for a slow reader,
/// further lines are dropped and counted. A second start in one process has no effect.
///
/// # Errors
///
/// Returns an error if the filter cannot be parsed.
pub fn start_log(filter: &str, queued_lines: usize) -> Result<LogGuard, ParseError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(queued_lines)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let (log, filter) = json_log(filter, writer)?;
    if log.try_init().is_err() || DROPPED_LINES.set(dropped).is_err() {
        tracing::debug!(event = "log", "the log was started before");
    }
    Ok(LogGuard {
        _writer: guard,
        filter,
    })
}
