//! Timing model of an engine.

use std::sync::Arc;

use teaselglade_bench::engine::{EngineAttempt, EngineClass, EngineModel, PrefixCache};

fn attempt(attempt_index: usize, prefix: &Arc<[u64]>) -> EngineAttempt {
    EngineAttempt {
        attempt_index,
        prompt_tokens: 320,
        output_tokens: 10,
        prefix: Arc::clone(prefix),
    }
}

/// Runs the engine until idle and returns seconds, output tokens and computed prompt tokens.
fn run(engine: &mut EngineModel) -> (f64, usize, u32) {
    let (mut seconds, mut tokens, mut computed) = (0.0, 0, 0);
    while let Some(step) = engine.start_step() {
        seconds += step;
        for token in engine.end_step().tokens {
            tokens += 1;
            computed += token.computed_tokens.unwrap_or_default();
        }
    }
    (seconds, tokens, computed)
}

#[test]
fn a_cached_prefix_is_not_computed_again() {
    let prefix: Arc<[u64]> = (0..10).collect();
    let mut engine = EngineModel::new(EngineClass::current_generation());
    engine.submit(attempt(0, &prefix));
    let (_, _, first_computed) = run(&mut engine);
    engine.submit(attempt(1, &prefix));
    let (_, _, second_computed) = run(&mut engine);
    assert_eq!((first_computed, second_computed), (320, 1));
}

#[test]
fn a_batch_takes_less_time_than_its_requests_one_after_another() {
    let prefix: Arc<[u64]> = (0..10).collect();
    let mut batched = EngineModel::new(EngineClass::previous_generation());
    let mut sequential = EngineModel::new(EngineClass::previous_generation());
    let mut sequential_seconds = 0.0;
    for attempt_index in 0..8 {
        batched.submit(attempt(attempt_index, &prefix));
        sequential.submit(attempt(attempt_index, &prefix));
        sequential_seconds += run(&mut sequential).0;
    }
    let (batched_seconds, tokens, _) = run(&mut batched);
    assert_eq!(tokens, 80);
    assert!(batched_seconds < sequential_seconds);
}

#[test]
fn a_stopped_engine_returns_every_attempt_once() {
    let prefix: Arc<[u64]> = (0..10).collect();
    let mut engine = EngineModel::new(EngineClass::previous_generation());
    (0..40).for_each(|attempt_index| engine.submit(attempt(attempt_index, &prefix)));
    engine.start_step();
    engine.end_step();
    let mut attempt_indexes = engine
        .abort_all()
        .into_iter()
        .map(|(attempt_index, _)| attempt_index)
        .collect::<Vec<_>>();
    attempt_indexes.sort_unstable();
    assert_eq!(attempt_indexes, (0..40).collect::<Vec<_>>());
    assert!(engine.is_idle());
}

#[test]
fn the_cache_stays_within_its_capacity() {
    let mut cache = PrefixCache::new(4);
    for start in 0..100 {
        cache.store(&[start, start + 1]);
    }
    let cached_blocks = (0..=100).filter(|block| cache.cached_tokens(&[*block]) > 0);
    assert_eq!(cached_blocks.count(), 4);
}
