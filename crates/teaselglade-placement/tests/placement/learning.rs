//! What the cost policy learns, and unlearns.

use teaselglade_core::id::ServerKey;
use teaselglade_placement::cost::{CostOptions, PrefixIndex};
use teaselglade_placement::policy::{PlacementEvent, PrefixChange, ServerPlacer};

use crate::fixture::{NEW_CARD, OLD_CARD, at, cost_placement, facts, query, report};

fn tell(placement: &mut ServerPlacer, server: ServerKey, running: u32, gap_millis: u64) {
    let report = report(running, gap_millis);
    placement.observe(at(1), &PlacementEvent::Reported { server, report });
}

fn place(placement: &mut ServerPlacer) -> ServerKey {
    let found = placement.place(at(1), &query(50, 50));
    found.expect("a server").server
}

#[test]
fn a_slow_card_is_passed_over_though_it_is_cheap() {
    let mut placement = cost_placement(CostOptions::default());
    let slow = placement.add(facts(OLD_CARD, 10.0, true));
    let fast = placement.add(facts(NEW_CARD, 90.0, true));
    assert_eq!(
        placement
            .place(at(1), &query(50, 50))
            .expect("a server")
            .server,
        slow
    );
    for _ in 0..50 {
        tell(&mut placement, slow, 2, 60);
        tell(&mut placement, fast, 2, 15);
    }
    assert_eq!(
        placement
            .place(at(1), &query(50, 50))
            .expect("a server")
            .server,
        fast
    );
}

#[test]
fn a_throttled_server_comes_back_when_idle() {
    let mut placement = cost_placement(CostOptions::default());
    let throttled = placement.add(facts(NEW_CARD, 10.0, true));
    let sibling = placement.add(facts(NEW_CARD, 90.0, true));
    for _ in 0..50 {
        tell(&mut placement, throttled, 2, 120);
        tell(&mut placement, sibling, 2, 15);
        tell(&mut placement, sibling, 3, 16);
    }
    tell(&mut placement, sibling, 0, 0);
    assert_eq!(place(&mut placement), sibling);
    for _ in 0..60 {
        tell(&mut placement, throttled, 0, 0);
        tell(&mut placement, sibling, 0, 0);
    }
    assert_eq!(place(&mut placement), throttled);
}

#[test]
fn a_gap_in_the_cache_events_lowers_the_trust() {
    let mut index = PrefixIndex::default();
    let server = ServerKey::new(0);
    index.change(server, 1, PrefixChange::Stored, 7);
    index.change(server, 2, PrefixChange::Stored, 8);
    let trusted = index.trust(server);
    index.change(server, 5, PrefixChange::Stored, 9);
    assert!(index.trust(server) < trusted);
    let doubted = index.trust(server);
    index.learn(server, 320, 320);
    assert!(index.trust(server) > doubted);
}

#[test]
fn an_evicted_prefix_is_forgotten() {
    let mut index = PrefixIndex::default();
    let server = ServerKey::new(0);
    index.mark(server, &[7, 8]);
    index.change(server, 1, PrefixChange::Evicted, 8);
    assert_eq!(index.cached_on(server, &[7, 8]), 32);
    index.forget(server);
    assert_eq!(index.cached_on(server, &[7, 8]), 0);
    assert!(index.is_empty());
}

#[test]
fn the_index_stays_bounded() {
    const BOUND: usize = 65_536;
    let mut index = PrefixIndex::default();
    for block in 0..200_000 {
        index.mark(ServerKey::new((block % 64) as u32), &[block]);
    }
    assert!(index.len() <= BOUND);
}
