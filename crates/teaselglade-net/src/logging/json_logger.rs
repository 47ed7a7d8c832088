//! Logger that writes one JSON object per line.

use std::io::{Write, stderr};
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};
use serde::Serialize;
use simplelog::{Config, SharedLogger};

/// Line of the log.
#[derive(Debug, Serialize)]
struct JsonLine<'a> {
    time_ms: u128,
    level: &'static str,
    target: &'a str,
    message: String,
}

/// Logger that writes one JSON object per line to standard error.
#[derive(Debug)]
pub(super) struct JsonLogger {
    level: LevelFilter,
}

impl JsonLogger {
    pub(super) fn boxed(level: LevelFilter) -> Box<dyn SharedLogger> {
        Box::new(Self { level })
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = JsonLine {
            time_ms: time.as_millis(),
            level: record.level().as_str(),
            target: record.target(),
            message: record.args().to_string(),
        };
        if let Ok(json) = serde_json::to_string(&line) {
            // If standard error is closed, the failure cannot be reported anywhere else.
            let _closed = writeln!(stderr(), "{json}");
        }
    }

    fn flush(&self) {}
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
