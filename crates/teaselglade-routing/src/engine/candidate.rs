//! One engine as a placement sees it.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

use super::PromptShape;

/// Difference in predicted time below which engines count as equal.
const EQUAL_SPAN_MS: f64 = 2.0;

/// One engine as a placement sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) server: ServerKey,
    pub(super) predicted_latency: Duration,
    /// Time to read this prompt alone.
    pub(super) own_span: Duration,
    pub(super) new_tokens: u32,
    pub(super) tokens_ahead: f64,
    pub(super) cost_ms: f64,
    pub(super) preference: u64,
}

impl Candidate {
    /// Orders candidates by cost; among equal ones the hash of the prompt decides.
    pub(super) fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let (a, b) = (self.cost_ms / EQUAL_SPAN_MS, other.cost_ms / EQUAL_SPAN_MS);
        let by_cost = (a.round() as i64).cmp(&(b.round() as i64));
        by_cost.then(other.preference.cmp(&self.preference))
    }
}

/// Returns the rank of a server for a prompt, the same at every host.
pub(super) fn preference(prompt: &PromptShape, server: u64) -> u64 {
    let shared = prompt.parts.iter().rev().nth(1).or(prompt.parts.last());
    let prefix_hash = shared.map_or(0, |part| part.prefix_hash);
    let mixed = (prefix_hash ^ server.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
