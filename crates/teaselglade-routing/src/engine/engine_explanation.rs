//! Why a stream would be placed on an engine.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::engine_candidate::EngineCandidate;
use super::{EnginePlacer, EngineQuery, PromptShape, Result};
use crate::registry::ServerRegistry;

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

impl EnginePlacer {
    /// Explains what [`EnginePlacer::place`] would decide, without reserving or counting anything.
    pub fn explain(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        query: &EngineQuery<'_>,
    ) -> EngineExplanation {
        let rng = self.rng.clone();
        let decision = match self.best_candidate(now, registry, query) {
            Some(best) => self.check_admission(query, best).map(|()| best.server),
            None => Err(self.no_engine_refusal(now, registry, query.service)),
        };
        self.rng = rng;
        let mut candidates = self.candidates(now, registry, query);
        candidates.sort_by(EngineCandidate::compare);
        EngineExplanation {
            decision,
            options: candidates.iter().map(EngineOption::from).collect(),
        }
    }

    /// Returns the age of the oldest loads of other hosts that are used.
    #[must_use]
    pub fn load_age(&self, now: Timestamp) -> Option<Duration> {
        self.loads.age(now)
    }

    /// Returns the most prompt tokens that an engine of certain zones has cached.
    #[must_use]
    pub fn most_cached_tokens(
        &self,
        now: Timestamp,
        registry: &ServerRegistry,
        service: &str,
        prompt: &PromptShape,
        in_zone: impl Fn(&str) -> bool,
    ) -> u32 {
        let servers = registry.available(now, service);
        let servers = servers.filter(|(_, server)| in_zone(&server.registration.zone));
        let tokens = servers.map(|(key, _)| self.cache.cached_tokens(now, key, prompt));
        tokens.max().unwrap_or_default()
    }
}
