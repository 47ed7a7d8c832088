//! Engine considered for one placement.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

use super::PromptShape;

/// Step to which costs are rounded before they are compared, in milliseconds.
const EQUAL_COST_MS: f64 = 2.0;

/// Engine considered for one placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineCandidate {
    pub(super) server: ServerKey,
    /// Hash of the server's name.
    pub(super) hash: u64,
    /// Whether recent failures speak against the engine.
    pub(super) is_avoided: bool,
    /// Part of the cost that stems from the engine's zone; zero in the wanted zone.
    pub(super) zone_cost_ms: f64,
    /// Known requests as a share of the engine's slots; above 1 if some wait.
    pub(super) used_share: f64,
    pub(super) predicted_latency: Duration,
    /// Time to prefill this prompt without a queue.
    pub(super) prefill_time: Duration,
    pub(super) new_tokens: u32,
    pub(super) tokens_ahead: f64,
    pub(super) cost_ms: f64,
    pub(super) preference: u64,
    /// Lasting speed relative to the service.
    pub(super) speed: f64,
}

impl EngineCandidate {
    /// Adds the cost of the engine's zone.
    pub(super) fn add_zone_cost(self, zone_cost: Duration) -> Self {
        let zone_cost_ms = zone_cost.as_secs_f64() * 1_000.0;
        Self {
            zone_cost_ms,
            cost_ms: self.cost_ms + zone_cost_ms,
            ..self
        }
    }

    /// Orders candidates by rounded cost, and those of equal cost by descending preference.
    pub(super) fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let (a, b) = (self.cost_ms / EQUAL_COST_MS, other.cost_ms / EQUAL_COST_MS);
        let by_cost = (a.round() as i64).cmp(&(b.round() as i64));
        by_cost.then(other.preference.cmp(&self.preference))
    }
}

/// Returns the preference of a prompt for a server, the same on every host.
///
/// It hashes the prefix before the last part, which belongs to the request or its session, or
/// the only part.
pub(super) fn preference(prompt: &PromptShape, server: u64) -> u64 {
    let shared = prompt.parts.iter().rev().nth(1).or(prompt.parts.last());
    preference_of(shared.map_or(0, |part| part.prefix_hash), server)
}

/// Returns a preference weighted by the server's speed, so that a faster server ranks first more often.
///
/// Of servers with uniform preferences, each ranks first in proportion to its speed. A speed of 1
/// leaves the preference as it is.
pub(super) fn weighted_preference(preference: u64, speed: f64) -> u64 {
    if (speed - 1.0).abs() < f64::EPSILON {
        return preference;
    }
    let uniform = (preference as f64 + 0.5) / u64::MAX as f64;
    (uniform.powf(1.0 / speed) * u64::MAX as f64) as u64
}

/// Returns the preference of a hash for a server, the same on every host.
pub(crate) fn preference_of(hash: u64, server: u64) -> u64 {
    let mixed = (hash ^ server.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
