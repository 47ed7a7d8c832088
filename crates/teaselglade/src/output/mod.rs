//! Output formats and exit codes of the tool.

mod exit_status;
mod output_format;

pub use exit_status::ExitStatus;
pub use output_format::OutputFormat;
