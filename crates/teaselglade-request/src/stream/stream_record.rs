//! What is enough to continue a stream on another entry host.

use serde::{Deserialize, Serialize};

use super::StreamRequest;

/// What is enough to continue a stream on another entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Parameters of the request.
    pub request: StreamRequest,
    /// Tokens accepted so far; the caller may have got fewer.
    pub delivered: Vec<String>,
    /// Tokens of the answer, where it is whole.
    pub total: Option<u32>,
    /// Number of handovers; of two copies the one with the higher number holds.
    pub generation: u16,
    /// Retries after faults that the request used.
    pub retries: u32,
    /// Name of the server of the last attempt.
    pub server: Option<String>,
}
