//! Prompt of a request whose placement is to be explained.

use serde::{Deserialize, Serialize};
use teaselglade_routing::engine::PromptShape;

/// Prompt of a request whose placement is to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptQuery {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub output_tokens: u32,
    /// Prefix parts in order.
    #[serde(default)]
    pub parts: Vec<PartQuery>,
}

/// Prefix part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartQuery {
    /// Id of the part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

impl PromptQuery {
    /// Returns the prompt as the placer sees it.
    #[must_use]
    pub fn shape(&self) -> PromptShape {
        let parts = self.parts.iter().map(|part| (part.id, part.tokens));
        PromptShape::new(self.prompt_tokens, self.output_tokens, parts)
    }
}
