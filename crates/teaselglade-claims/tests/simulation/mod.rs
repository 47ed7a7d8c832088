//! Simulation of entry hosts, a log, a plain server and callers on virtual time.

mod checker;
mod fleet;
mod fleet_callers;
mod fleet_log;
mod log_model;
mod plan;
mod task;

pub use checker::check;
pub use fleet::{CallRecord, Fleet};
pub use plan::{AppendOutcome, AttemptOutcome, CallPlan, FaultProbabilities};
pub use task::Task;
