//! Model request of a caller.

use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

/// Holds a model request after its checks.
#[derive(Debug, Clone)]
pub(crate) struct ModelRequest {
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// Time by which the response must be complete.
    pub(crate) deadline: Timestamp,
    /// Prompt text.
    pub(crate) prompt: String,
    /// Maximum number of tokens of the response.
    pub(crate) max_tokens: u32,
    /// Adapter that the engine applies to the model.
    pub(crate) adapter: Option<String>,
}
