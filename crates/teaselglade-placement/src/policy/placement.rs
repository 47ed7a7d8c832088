//! The answer where a request goes.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

teaselglade_core::value_type! {
    /// Whether a placed request is predicted to meet the row's targets.
    pub enum PlacementOutlook {
        /// The targets will be met.
        OnTarget,
        /// The targets will be missed, and would be missed on idle servers too.
        LateAnyway,
        /// The targets will be missed because of the load.
        LateByLoad,
    }
}

/// The answer where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Server to dispatch to.
    pub server: ServerKey,
    /// Prompt tokens that the server is expected to have cached.
    pub cached_tokens: u32,
    /// Predicted time to the first token; zero where the policy predicts nothing.
    pub first_token: Duration,
    /// Predicted time between two tokens; zero where the policy predicts nothing.
    pub token_gap: Duration,
    /// Whether the row's targets are predicted to be met.
    pub outlook: PlacementOutlook,
}

impl Placement {
    /// Makes a placement of a policy that predicts nothing.
    #[must_use]
    pub const fn unpredicted(server: ServerKey) -> Self {
        Self {
            server,
            cached_tokens: 0,
            first_token: Duration::ZERO,
            token_gap: Duration::ZERO,
            outlook: PlacementOutlook::OnTarget,
        }
    }
}
