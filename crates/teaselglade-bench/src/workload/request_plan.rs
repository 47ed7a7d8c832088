//! One request of a workload.

use std::sync::Arc;
use std::time::Duration;

/// One request of a workload.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestPlan {
    /// Arrival, counted from the start.
    pub at: Duration,
    /// Index of the organisation.
    pub organisation: u16,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer will have.
    pub answer_tokens: u32,
    /// Tokens that the caller allows; this is all that a policy knows.
    pub max_tokens: u32,
    /// Hashes of the prefixes of prompt and answer.
    pub prefix: Arc<[u64]>,
}
