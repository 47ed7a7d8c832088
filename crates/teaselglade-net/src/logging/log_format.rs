//! Starts the process's log.

use log::LevelFilter;
use serde::Deserialize;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

/// Form of the log's lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Lines for a person.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging to standard error; a second start in one process changes nothing.
pub fn start_logging(format: LogFormat, level: LevelFilter) {
    let logger: Box<dyn simplelog::SharedLogger> = match format {
        LogFormat::Text => TermLogger::new(
            level,
            text_config(),
            TerminalMode::Stderr,
            ColorChoice::Never,
        ),
        LogFormat::Json => WriteLogger::new(level, json_config(), std::io::stderr()),
    };
    // A logger that is set already stays.
    let _second_start = simplelog::CombinedLogger::init(vec![logger]);
}

fn text_config() -> Config {
    ConfigBuilder::new().set_time_format_rfc3339().build()
}

fn json_config() -> Config {
    ConfigBuilder::new().set_time_format_rfc3339().build()
}
