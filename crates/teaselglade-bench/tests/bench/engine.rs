//! The timing model of an engine.

use std::sync::Arc;

use teaselglade_bench::engine::{EngineClass, EngineModel, EngineWork, PrefixCache};

fn work(ticket: usize, prefix: &Arc<[u64]>) -> EngineWork {
    EngineWork {
        ticket,
        prompt_tokens: 320,
        answer_tokens: 10,
        prefix: Arc::clone(prefix),
    }
}

/// Runs the engine until it is idle and returns seconds, tokens and computed prompt tokens.
fn run(engine: &mut EngineModel) -> (f64, usize, u32) {
    let (mut seconds, mut tokens, mut computed) = (0.0, 0, 0);
    while let Some(step) = engine.start_step() {
        seconds += step;
        for token in engine.end_step().tokens {
            tokens += 1;
            computed += token.computed.unwrap_or_default();
        }
    }
    (seconds, tokens, computed)
}

#[test]
fn a_cached_prefix_is_not_computed_again() {
    let prefix: Arc<[u64]> = (0..10).collect();
    let mut engine = EngineModel::new(EngineClass::new_card());
    engine.submit(work(0, &prefix));
    let (_, _, first) = run(&mut engine);
    engine.submit(work(1, &prefix));
    let (_, _, second) = run(&mut engine);
    assert_eq!((first, second), (320, 1));
}

#[test]
fn a_batch_takes_less_time_than_its_requests_in_turn() {
    let prefix: Arc<[u64]> = (0..10).collect();
    let mut batched = EngineModel::new(EngineClass::old_card());
    let mut in_turn = EngineModel::new(EngineClass::old_card());
    let mut seconds = 0.0;
    for ticket in 0..8 {
        batched.submit(work(ticket, &prefix));
        in_turn.submit(work(ticket, &prefix));
        seconds += run(&mut in_turn).0;
    }
    let (together, tokens, _) = run(&mut batched);
    assert_eq!(tokens, 80);
    assert!(together < seconds);
}

#[test]
fn a_stopped_engine_names_every_attempt_once() {
    let prefix: Arc<[u64]> = (0..10).collect();
    let mut engine = EngineModel::new(EngineClass::old_card());
    (0..40).for_each(|ticket| engine.submit(work(ticket, &prefix)));
    engine.start_step();
    engine.end_step();
    let mut tickets = engine
        .cut()
        .into_iter()
        .map(|(ticket, _)| ticket)
        .collect::<Vec<_>>();
    tickets.sort_unstable();
    assert_eq!(tickets, (0..40).collect::<Vec<_>>());
    assert!(engine.is_idle());
}

#[test]
fn the_cache_stays_within_its_blocks() {
    let mut cache = PrefixCache::new(4);
    for start in 0..100 {
        cache.store(&[start, start + 1]);
    }
    let kept = (0..=100).filter(|block| cache.cached_tokens(&[*block]) > 0);
    assert_eq!(kept.count(), 4);
}
