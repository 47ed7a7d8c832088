//! Whether a request may have run, and how a refusal says so.

mod execution_verdict;
mod refusal_reason;
mod request_refusal;
mod send_progress;

pub use execution_verdict::ExecutionVerdict;
pub use refusal_reason::RefusalReason;
pub use request_refusal::RequestRefusal;
pub use send_progress::SendProgress;
