//! Starts the process's log.

use std::fmt;
use std::str::FromStr;

use log::LevelFilter;
use simplelog::{
    ColorChoice, CombinedLogger, ConfigBuilder, SharedLogger, TermLogger, TerminalMode,
};

use super::json_logger::JsonLogger;

/// Form of the log's lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Lines for a person.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Text that names no form of the log's lines.
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

/// Starts logging to standard error; a second start in one process changes nothing.
pub fn start_logging(format: LogFormat, level: LevelFilter) {
    let logger = match format {
        LogFormat::Text => text_logger(level),
        LogFormat::Json => JsonLogger::boxed(level),
    };
    // A logger that is set already stays.
    let _second_start = CombinedLogger::init(vec![logger]);
}

fn text_logger(level: LevelFilter) -> Box<dyn SharedLogger> {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    TermLogger::new(level, config, TerminalMode::Stderr, ColorChoice::Never)
}
