//! Why a stream would be placed on an engine.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

use super::Result;
use super::engine_candidate::EngineCandidate;

/// What a placement would decide now, and the engines that it would choose from.
#[derive(Debug, Clone)]
pub struct EngineExplanation {
    /// Engine that would run the stream, or the refusal.
    pub decision: Result<ServerKey>,
    /// Engines that may be sent to, by ascending cost.
    pub options: Vec<EngineOption>,
}

/// Engine that a placement would choose from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineOption {
    /// Key of the engine.
    pub server: ServerKey,
    /// Predicted time to the first event.
    pub predicted_latency: Duration,
    /// Time to prefill this prompt without a queue.
    pub prefill_time: Duration,
    /// Prompt tokens that the engine has to prefill; the others are cached.
    pub new_tokens: u32,
    /// Prompt tokens of all hosts that are queued before this prompt.
    pub tokens_ahead: f64,
    /// Known requests as a share of the engine's slots.
    pub used_share: f64,
    /// Part of the cost that stems from the engine's zone, in milliseconds.
    pub zone_cost_ms: f64,
    /// Sum by which engines are compared, in milliseconds.
    pub cost_ms: f64,
    /// Whether recent failures speak against the engine.
    pub is_avoided: bool,
}

impl From<&EngineCandidate> for EngineOption {
    fn from(candidate: &EngineCandidate) -> Self {
        Self {
            server: candidate.server,
            predicted_latency: candidate.predicted_latency,
            prefill_time: candidate.prefill_time,
            new_tokens: candidate.new_tokens,
            tokens_ahead: candidate.tokens_ahead,
            used_share: candidate.used_share,
            zone_cost_ms: candidate.zone_cost_ms,
            cost_ms: candidate.cost_ms,
            is_avoided: candidate.is_avoided,
        }
    }
}
