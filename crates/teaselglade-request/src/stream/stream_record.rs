//! Record from which another entry host continues a stream.

use serde::{Deserialize, Serialize};

use super::StreamRequest;

/// Contains what another entry host needs to continue a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Parameters of the request.
    pub request: StreamRequest,
    /// Tokens accepted so far; the caller may have received fewer.
    pub delivered: Vec<String>,
    /// Number of tokens of the response, if it is complete.
    pub total: Option<u32>,
    /// Generation of the copy, raised by each handover. Of two copies the higher one is valid.
    pub generation: u16,
    /// Retries after faults and timeouts that the request used.
    pub retries: u32,
    /// Name of the server of the last attempt.
    pub server: Option<String>,
}
