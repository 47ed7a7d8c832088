//! Captures the log lines of a test.

use std::io::{Result, Write};
use std::sync::{Arc, Mutex, PoisonError};

use teaselglade::operation::{HostLogLine, RequestTimeline};
use teaselglade_host::journal::json_log;
use tracing::subscriber::DefaultGuard;
use tracing_subscriber::util::SubscriberInitExt;

/// Captures the log lines of everything that runs on the test's thread.
pub struct CapturedLog {
    bytes: LogBytes,
    _log: DefaultGuard,
}

#[derive(Clone, Default)]
struct LogBytes(Arc<Mutex<Vec<u8>>>);

impl Write for LogBytes {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        let mut bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        bytes.extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    /// Starts to capture lines of level `info` and above.
    pub fn start() -> Self {
        let bytes = LogBytes::default();
        let shared = bytes.clone();
        let (log, _filter) = json_log("info", move || shared.clone()).expect("a filter");
        Self {
            bytes,
            _log: log.set_default(),
        }
    }

    /// Returns the timeline of a request from the lines so far, as the `explain` command prints it.
    pub fn explain(&self, id: &str) -> String {
        let bytes = self.bytes.0.lock().unwrap_or_else(PoisonError::into_inner);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let lines = text
            .lines()
            .filter_map(|line| HostLogLine::parse(line, "edge"));
        let lines: Vec<HostLogLine> = lines.collect();
        RequestTimeline::join(id, &lines).render()
    }
}
