//! Server chosen for a request, with its latency forecast.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

teaselglade_core::value_type! {
    /// Whether a placed request is predicted to meet the latency targets of its row.
    pub enum LatencyForecast {
        /// The targets are predicted to be met.
        OnTarget,
        /// The targets would be missed even on idle servers.
        #[serde(rename = "late_anyway")]
        LateWhenIdle,
        /// The targets would be missed because of the current load.
        #[serde(rename = "late_by_load")]
        LateUnderLoad,
    }
}

/// Server chosen for a request, with its latency forecast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Server to dispatch the request to.
    pub server: ServerKey,
    /// Prompt tokens expected to be cached on the server.
    pub cached_tokens: u32,
    /// Predicted time to the first token; zero if the policy makes no prediction.
    pub first_token: Duration,
    /// Predicted time between two tokens; zero if the policy makes no prediction.
    pub token_gap: Duration,
    /// Whether the latency targets are predicted to be met.
    pub latency_forecast: LatencyForecast,
}

impl Placement {
    /// Creates the placement of a policy that makes no prediction.
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
