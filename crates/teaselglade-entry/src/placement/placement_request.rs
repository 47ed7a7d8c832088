//! Request for a placement.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::table::ServiceRow;
use teaselglade_placement::policy::prefix_block_hashes;

/// Holds the properties of a request that its placement depends on.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest {
    /// Organisation that sent the request.
    pub(crate) organisation: String,
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// Hashes of the prefix blocks of the prompt and the delivered tokens.
    pub(crate) prefix: Vec<u64>,
    /// Tokens of the prompt and delivered tokens.
    pub(crate) prompt_tokens: u32,
    /// Maximum number of tokens still to generate.
    pub(crate) answer_tokens: u32,
    /// Time left until the first-token target.
    pub(crate) first_token_left: Duration,
    /// Servers that must not be chosen.
    pub(crate) excluded: Vec<ServerKey>,
}

impl PlacementRequest {
    /// Creates the placement request of a call to a plain service.
    pub(crate) fn plain(row: &ServiceRow, excluded: &[ServerKey]) -> Self {
        Self {
            organisation: String::new(),
            row: row.clone(),
            prefix: Vec::new(),
            prompt_tokens: 0,
            answer_tokens: 0,
            first_token_left: row.first_token_target,
            excluded: excluded.to_vec(),
        }
    }

    /// Creates the placement request of a model request.
    pub(crate) fn model(
        organisation: &str,
        row: &ServiceRow,
        prompt: &str,
        delivered: &[String],
        max_tokens: u32,
    ) -> Self {
        let words = prompt.split_whitespace();
        let words = words.chain(delivered.iter().map(|token| token.trim()));
        let words = words.collect::<Vec<_>>();
        Self {
            organisation: organisation.to_owned(),
            row: row.clone(),
            prompt_tokens: words.len() as u32,
            prefix: prefix_block_hashes(words),
            answer_tokens: max_tokens.saturating_sub(delivered.len() as u32).max(1),
            first_token_left: row.first_token_target,
            excluded: Vec::new(),
        }
    }

    /// Sets the servers that must not be chosen.
    #[must_use]
    pub(crate) fn excluding(mut self, servers: &[ServerKey]) -> Self {
        self.excluded = servers.to_vec();
        self
    }
}
