//! Request whose placement is to be explained.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::PromptQuery;

/// Request whose placement is to be explained.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
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

impl fmt::Debug for PlacementQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The organisation may be given by its key.
        f.debug_struct("PlacementQuery")
            .field("host", &self.host)
            .field("path", &self.path)
            .field("service", &self.service)
            .field("prompt", &self.prompt)
            .field("body_bytes", &self.body_bytes)
            .finish_non_exhaustive()
    }
}
