//! Logging to standard error, as text or JSON lines.

mod json_logger;
mod log_format;

pub use log_format::{LogFormat, LogFormatError, start_logging};
