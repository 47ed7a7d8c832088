//! Request whose placement is to be explained.

use serde::{Deserialize, Serialize};

use super::PromptQuery;

/// Request whose placement is to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementQuery {
    /// Host name in the request, without a port.
    pub host: String,
    /// Path of the request, without a query.
    pub path: String,
    /// Name or API key of the organisation; `None` for a request without a key.
    #[serde(default)]
    pub organisation: Option<String>,
    /// Service, where the route spreads over several; `None` selects the one of most weight.
    #[serde(default)]
    pub service: Option<String>,
    /// Prompt of the request, if it has one.
    #[serde(default)]
    pub prompt: Option<PromptQuery>,
    /// Number of bytes in the body.
    #[serde(default)]
    pub body_bytes: usize,
}
