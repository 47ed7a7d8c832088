//! Verdicts on whether a request may have run, and the refusals that report them.

mod execution_verdict;
mod refusal_reason;
mod request_refusal;
mod send_progress;

pub use execution_verdict::ExecutionVerdict;
pub use refusal_reason::RefusalReason;
pub use request_refusal::RequestRefusal;
pub use send_progress::SendProgress;
