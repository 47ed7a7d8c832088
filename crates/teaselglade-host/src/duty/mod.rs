//! Leader duties, which one host at a time performs.

mod duty_driver;
mod report_log;
mod term_guard;
mod usage_reporter;

pub use duty_driver::{DutyDriver, lease_identity, lease_timings};
pub use report_log::{ReportLog, ReportRecord};
pub use term_guard::TermGuard;
