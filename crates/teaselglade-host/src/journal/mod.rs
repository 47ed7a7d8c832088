//! Structured log lines on standard output, rate-limited and non-blocking.

mod decision_log;
mod line_budget;
mod log_start;

pub use decision_log::{DecisionLog, LostAttemptFields, PlacementFields, RequestFields};
pub use line_budget::{LineBudget, MAX_SUMMARY_IDS, SuppressedLines};
pub use log_start::{LogFilter, LogGuard, dropped_lines, json_log, start_log};
