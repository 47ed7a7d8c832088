//! What the tool prints and returns.

mod exit_status;
mod output_format;

pub use exit_status::ExitStatus;
pub use output_format::OutputFormat;
