//! Format and start of logging.

use std::fmt;
use std::str::FromStr;

use log::LevelFilter;
use simplelog::{
    ColorChoice, CombinedLogger, ConfigBuilder, SharedLogger, TermLogger, TerminalMode,
};

use super::json_logger::JsonLogger;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Error returned when a log format is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogFormatError;

impl fmt::Display for LogFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected `text` or `json`")
    }
}

impl std::error::Error for LogFormatError {}

impl FromStr for LogFormat {
    type Err = LogFormatError;

    fn from_str(text: &str) -> Result<Self, LogFormatError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(LogFormatError),
        }
    }
}

/// Starts logging to standard error; a second call in one process has no effect.
pub fn start_logging(format: LogFormat, level: LevelFilter) {
    let logger = match format {
        LogFormat::Text => text_logger(level),
        LogFormat::Json => JsonLogger::boxed(level),
    };
    // A logger that is already set stays in place.
    let _second_start = CombinedLogger::init(vec![logger]);
}

fn text_logger(level: LevelFilter) -> Box<dyn SharedLogger> {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    TermLogger::new(level, config, TerminalMode::Stderr, ColorChoice::Never)
}
