//! Structured log lines on standard output, rate-limited and non-blocking.

mod decision_log;
mod line_budget;
mod line_queue;
mod log_start;

pub use decision_log::{
    AnswerFields, DecisionLog, LostAttemptFields, PlacementFields, RequestFields,
};
pub use line_budget::{LineBudget, MAX_SUMMARY_IDS, SuppressedLines};
pub use line_queue::{LineQueue, LineWriter};
pub use log_start::{LogFilter, LogGuard, dropped_lines, json_log, reserve_last_lines, start_log};
