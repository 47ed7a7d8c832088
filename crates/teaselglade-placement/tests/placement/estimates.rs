//! Estimates of the cost policy: speeds and cached prefixes.

use teaselglade_core::id::ServerKey;
use teaselglade_placement::cost::{CostOptions, PrefixIndex};
use teaselglade_placement::policy::{PlacementEvent, PrefixChange, ServerPlacer};

use crate::fixture::{NEW_GPU_CLASS, OLD_GPU_CLASS, at, attributes, cost_placer, query, report};

fn report_speed(placer: &mut ServerPlacer, server: ServerKey, running: u32, gap_millis: u64) {
    let report = report(running, gap_millis);
    placer.observe(at(1), &PlacementEvent::Reported { server, report });
}

fn chosen_server(placer: &mut ServerPlacer) -> ServerKey {
    let found = placer.place(at(1), &query(50, 50));
    found.expect("a server").server
}

#[test]
fn a_cheap_but_slow_server_is_not_used() {
    let mut placer = cost_placer(CostOptions::default());
    let slow = placer.add(attributes(OLD_GPU_CLASS, 10.0, true));
    let fast = placer.add(attributes(NEW_GPU_CLASS, 90.0, true));
    assert_eq!(
        placer
            .place(at(1), &query(50, 50))
            .expect("a server")
            .server,
        slow
    );
    for _ in 0..50 {
        report_speed(&mut placer, slow, 2, 60);
        report_speed(&mut placer, fast, 2, 15);
    }
    assert_eq!(
        placer
            .place(at(1), &query(50, 50))
            .expect("a server")
            .server,
        fast
    );
}

#[test]
fn a_throttled_server_is_used_again_after_it_was_idle() {
    let mut placer = cost_placer(CostOptions::default());
    let throttled = placer.add(attributes(NEW_GPU_CLASS, 10.0, true));
    let sibling = placer.add(attributes(NEW_GPU_CLASS, 90.0, true));
    for _ in 0..50 {
        report_speed(&mut placer, throttled, 2, 120);
        report_speed(&mut placer, sibling, 2, 15);
        report_speed(&mut placer, sibling, 3, 16);
    }
    report_speed(&mut placer, sibling, 0, 0);
    assert_eq!(chosen_server(&mut placer), sibling);
    for _ in 0..60 {
        report_speed(&mut placer, throttled, 0, 0);
        report_speed(&mut placer, sibling, 0, 0);
    }
    assert_eq!(chosen_server(&mut placer), throttled);
}

#[test]
fn a_gap_in_the_cache_events_lowers_the_confidence() {
    let mut index = PrefixIndex::default();
    let server = ServerKey::new(0);
    index.apply_change(server, 1, PrefixChange::Stored, 7);
    index.apply_change(server, 2, PrefixChange::Stored, 8);
    let before_gap = index.confidence(server);
    index.apply_change(server, 5, PrefixChange::Stored, 9);
    assert!(index.confidence(server) < before_gap);
    let after_gap = index.confidence(server);
    index.record_hit(server, 320, 320);
    assert!(index.confidence(server) > after_gap);
}

#[test]
fn an_evicted_prefix_is_removed() {
    let mut index = PrefixIndex::default();
    let server = ServerKey::new(0);
    index.record_cached(server, &[7, 8]);
    index.apply_change(server, 1, PrefixChange::Evicted, 8);
    assert_eq!(index.cached_on(server, &[7, 8]), 32);
    index.remove_server(server);
    assert_eq!(index.cached_on(server, &[7, 8]), 0);
    assert!(index.is_empty());
}

#[test]
fn the_prefix_index_stays_bounded() {
    const MAX_BLOCKS: usize = 65_536;
    let mut index = PrefixIndex::default();
    for block in 0..200_000 {
        index.record_cached(ServerKey::new((block % 64) as u32), &[block]);
    }
    assert!(index.len() <= MAX_BLOCKS);
}
