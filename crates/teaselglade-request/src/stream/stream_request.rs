//! Parameters of a stream.

use serde::{Deserialize, Serialize};
use teaselglade_core::id::RequestId;
use teaselglade_core::time::Timestamp;

/// Contains the parameters of a stream as the caller sent them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that sent the request.
    pub organisation: String,
    /// Service that runs the request.
    pub service: String,
    /// Prompt text.
    pub prompt: String,
    /// Limit of tokens of the response.
    pub max_tokens: u32,
    /// Name of the model adapter to apply.
    pub adapter: Option<String>,
    /// Priority; higher values are served first.
    pub priority: i32,
    /// When the response must be complete.
    pub deadline: Timestamp,
}
