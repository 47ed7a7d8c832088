//! Logs as text or JSON lines on standard error.

mod json_logger;
mod log_format;

pub use log_format::{LogFormat, LogFormatError, start_logging};
