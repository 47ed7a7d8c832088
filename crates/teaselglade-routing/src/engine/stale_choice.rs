//! Choice of an engine while the known loads are stale.

use std::cmp::Reverse;
use std::time::Duration;

use super::PromptShape;
use super::engine_candidate::EngineCandidate;

/// Share of a prompt's shared tokens that an engine must have cached to be considered for them.
///
/// A short part that thousands of prompts share is cached on all engines. If that sufficed, all
/// hosts would choose the one engine that was least loaded in the last aggregate.
const MIN_CACHED_SHARE: f64 = 0.5;
/// Number of engines, by a prompt's preference, of which the cheapest is chosen if none is on time.
const FALLBACK_WIDTH: usize = 8;
/// Shares of used slots up to which an engine is considered while loads are stale, in this order.
///
/// Requests that other hosts placed there meanwhile fill the rest of the slots.
const MAX_USED_SHARES: [f64; 2] = [0.75, 1.5];
/// Chooses an engine for a prompt; `target` is the time within which the first event is wanted.
///
/// All hosts of a large fleet know the same loads, some hundred milliseconds late. If each chose the
/// cheapest engine, those of the whole fleet would choose the same one until its load arrives.
/// Therefore the engine that the prompt's hash ranks first, or one that has its shared parts in its
/// cache, is taken if it is on time and not nearly full; otherwise the first one by rank that is.
/// If none is on time, it is the cheapest of the first few by rank.
pub(super) fn choose_with_stale_loads(
    candidates: &mut [&EngineCandidate],
    prompt: &PromptShape,
    target: Duration,
) -> Option<EngineCandidate> {
    candidates.sort_unstable_by_key(|candidate| Reverse(candidate.preference));
    let ranked = || candidates.iter().copied().copied();
    let nearest = ranked()
        .enumerate()
        .filter(|(rank, candidate)| *rank == 0 || is_cached(candidate, prompt))
        .map(|(_, candidate)| candidate)
        .min_by(EngineCandidate::compare);
    let on_time = MAX_USED_SHARES.iter().find_map(|max_used_share| {
        let is_on_time = |candidate: &EngineCandidate| {
            candidate.predicted_latency <= target && candidate.used_share <= *max_used_share
        };
        nearest
            .filter(is_on_time)
            .or_else(|| ranked().find(is_on_time))
    });
    let fallback = || {
        ranked()
            .take(FALLBACK_WIDTH)
            .min_by(EngineCandidate::compare)
    };
    on_time.or_else(fallback)
}

/// Returns whether an engine has enough of the prompt's shared parts in its cache.
fn is_cached(candidate: &EngineCandidate, prompt: &PromptShape) -> bool {
    let cached_tokens = prompt.prompt_tokens.saturating_sub(candidate.new_tokens);
    f64::from(cached_tokens) >= f64::from(prompt.shared_tokens()) * MIN_CACHED_SHARE
}
