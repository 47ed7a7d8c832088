//! Request of a generated workload.

use std::sync::Arc;
use std::time::Duration;

/// Request of a generated workload.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestPlan {
    /// Arrival time since the start of the run.
    pub arrival: Duration,
    /// Index of the organisation.
    pub organisation: u16,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the output, in tokens.
    pub output_tokens: u32,
    /// Maximum length of the output, in tokens; policies do not know the actual length.
    pub max_tokens: u32,
    /// Prefix block hashes of the prompt and the output.
    pub prefix: Arc<[u64]>,
}
