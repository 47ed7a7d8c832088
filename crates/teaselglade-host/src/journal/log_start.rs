//! Start of the process log.

use std::fmt;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use tracing::warn;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

use super::{LineQueue, LineWriter};

/// Time to write the queued lines when the process ends, however slow the reader is.
///
/// It must fit into the time that a host keeps before the platform kills it.
const LAST_LINES_BOUND: Duration = Duration::from_millis(150);
/// Time to report on standard error that lines were not written, if its reader is slow too.
const REPORT_BOUND: Duration = Duration::from_millis(20);
/// Lines that are queued while the process ends beyond the usual number.
const LAST_LINES: usize = 4_096;

/// Queue of the process log, which is global to the process like the log itself.
static LINE_QUEUE: OnceLock<Arc<LineQueue>> = OnceLock::new();

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

/// Guard of the process log; dropping it writes the queued lines within a bound.
///
/// Lines that others write when they are dropped are only kept if the guard is dropped after them.
#[derive(Debug)]
pub struct LogGuard {
    queue: Arc<LineQueue>,
    /// Handle of the log filter.
    pub filter: LogFilter,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let lines = self.queue.dropped_lines();
        if lines > 0 {
            self.queue.reserve(1);
            warn!(event = "lines_dropped_in_all", lines);
        }
        let unwritten = self.queue.close(LAST_LINES_BOUND);
        if unwritten > 0 {
            report_unwritten(unwritten);
        }
    }
}

/// Reports on standard error how many of the last lines were not written.
///
/// A thread of its own does so, as standard error may have a slow reader as well.
fn report_unwritten(lines: usize) {
    let (sender, reported) = channel();
    thread::spawn(move || {
        let line = format!("{{\"event\":\"lines_unwritten\",\"lines\":{lines}}}\n");
        let result = std::io::stderr().write_all(line.as_bytes());
        // Nobody waits any more once the bound has passed.
        let _late = sender.send(result);
    });
    let _reported = reported.recv_timeout(REPORT_BOUND);
}

/// Returns the number of lines dropped for a slow reader of standard output.
#[must_use]
pub fn dropped_lines() -> u64 {
    LINE_QUEUE.get().map_or(0, |queue| queue.dropped_lines())
}

/// Makes room for the lines that the process writes while it ends.
///
/// A slow reader of standard output may have left none.
pub fn reserve_last_lines() {
    if let Some(queue) = LINE_QUEUE.get() {
        queue.reserve(LAST_LINES);
    }
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
    let queue = Arc::new(LineQueue::new(queued_lines));
    let (log, filter) = json_log(filter, LineWriter(Arc::clone(&queue)))?;
    let written = Arc::clone(&queue);
    thread::spawn(move || written.write_to(std::io::stdout()));
    if log.try_init().is_err() || LINE_QUEUE.set(Arc::clone(&queue)).is_err() {
        tracing::debug!(event = "log", "the log was started before");
    }
    Ok(LogGuard { queue, filter })
}
