//! Choice of an engine among those that a stream may be sent to.

use std::cmp::Reverse;

use super::EngineQuery;
use super::engine_candidate::{EngineCandidate, preference_of};
use super::stale_choice::choose_with_stale_loads;

/// Chooses the engine of a stream; `target_share` is the share of the target that it may take.
///
/// Engines with recent failures are left out unless there are no others.
pub(super) fn choose_engine(
    candidates: &[EngineCandidate],
    query: &EngineQuery<'_>,
    target_share: f64,
) -> Option<EngineCandidate> {
    let healthy = candidates.iter().filter(|candidate| !candidate.is_avoided);
    let mut healthy: Vec<&EngineCandidate> = healthy.collect();
    if let Some((part, rank)) = query.selected_by {
        healthy.sort_unstable_by_key(|candidate| Reverse(preference_of(part, candidate.hash)));
        let index = (rank as usize).min(healthy.len().saturating_sub(1));
        return healthy.get(index).map(|candidate| **candidate);
    }
    // Hosts that know the same engines to be fast would all choose the same one of them.
    let mut engines = healthy.iter();
    let are_uneven = engines.any(|engine| (engine.speed - 1.0).abs() > f64::EPSILON);
    if query.is_load_stale || are_uneven {
        let target = query.target.mul_f64(target_share);
        let mut near = near_candidates(&healthy);
        let is_zoned = near.len() < healthy.len();
        let chosen = choose_with_stale_loads(&mut healthy, query.prompt, target);
        // An engine of the wanted zone is taken unless it is late, or another saves the crossing.
        let near = is_zoned
            .then(|| choose_with_stale_loads(&mut near, query.prompt, target))
            .flatten()
            .filter(|near| near.predicted_latency <= target)
            .filter(|near| chosen.is_none_or(|chosen| near.cost_ms <= chosen.cost_ms));
        if let Some(chosen) = near.or(chosen) {
            return Some(chosen);
        }
    }
    let best = healthy.into_iter().min_by(|a, b| a.compare(b));
    best.or_else(|| candidates.iter().min_by(|a, b| a.compare(b)))
        .copied()
}

/// Returns the engines of the wanted zone, and those elsewhere that save more than they cost.
fn near_candidates<'a>(candidates: &[&'a EngineCandidate]) -> Vec<&'a EngineCandidate> {
    let is_near = |candidate: &&EngineCandidate| candidate.zone_cost_ms <= 0.0;
    let near = candidates.iter().copied().filter(is_near);
    let least_cost = near
        .map(|candidate| candidate.cost_ms)
        .fold(f64::INFINITY, f64::min);
    let pays = |candidate: &&EngineCandidate| is_near(candidate) || candidate.cost_ms < least_cost;
    candidates.iter().copied().filter(pays).collect()
}
