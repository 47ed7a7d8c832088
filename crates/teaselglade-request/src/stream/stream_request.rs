//! Parameters of a stream.

use serde::{Deserialize, Serialize};
use teaselglade_core::id::RequestId;
use teaselglade_core::time::Timestamp;

/// Parameters of a stream, as the caller gave them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Organisation that sent it.
    pub organisation: String,
    /// Service that runs it.
    pub service: String,
    /// Prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Adapter to apply.
    pub adapter: Option<String>,
    /// Priority; higher goes first.
    pub priority: i32,
    /// When the whole answer must be there.
    pub deadline: Timestamp,
}
