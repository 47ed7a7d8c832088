//! The answer where a request goes.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

teaselglade_core::value_type! {
    /// Whether a placed request is predicted to meet the row's targets.
    pub enum LatencyForecast {
        /// The targets will be met.
        OnTarget,
        /// The targets will be missed, and would be missed on idle servers too.
        #[serde(rename = "late_anyway")]
        LateWhenIdle,
        /// The targets will be missed because of the load.
        #[serde(rename = "late_by_load")]
        LateUnderLoad,
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
    pub latency_forecast: LatencyForecast,
}

impl Placement {
    /// Makes a placement of a policy that predicts nothing.
    #[must_use]
    pub const fn without_forecast(server: ServerKey) -> Self {
        Self {
            server,
            cached_tokens: 0,
            first_token: Duration::ZERO,
            token_gap: Duration::ZERO,
            latency_forecast: LatencyForecast::OnTarget,
        }
    }
}
