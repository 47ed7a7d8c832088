//! What a caller asked for.

use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

/// What a caller asked for.
#[derive(Debug, Clone)]
pub(crate) struct ModelRequest {
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// When the whole answer must be there.
    pub(crate) deadline: Timestamp,
    /// Prompt.
    pub(crate) prompt: String,
    /// Most tokens of the answer.
    pub(crate) max_tokens: u32,
    /// Adapter to apply.
    pub(crate) adapter: Option<String>,
}
