//! Servers by incarnation: leaving is never undone, lapsed entries come back or are gone.

use proptest::prelude::*;
use teaselglade_routing::registry::{
    RegistrationState, ServerDeparture, ServerPhase, ServerRegistry, UpdateScope,
};

use super::fixture::{at, draining, registration};

#[test]
fn a_server_that_leaves_stays_so_whatever_a_delayed_heartbeat_says() {
    let mut fleet = ServerRegistry::default();
    let key = fleet
        .apply_registration(at(0), registration("i-1", 5, 1))
        .expect("a new server");
    fleet.apply_registration(at(10), draining(registration("i-1", 5, 3)));
    fleet.apply_registration(at(20), registration("i-1", 5, 2));
    fleet.apply_registration(at(30), registration("i-1", 5, 4));
    assert!(!fleet.takes_work(key));
    fleet.apply_removal(at(40), "i-1");
    assert!(
        fleet
            .apply_registration(at(50), registration("i-1", 5, 9))
            .is_none()
    );
    assert_eq!(fleet.of_service("draft-fleet").count(), 0);
}

#[test]
fn a_new_incarnation_takes_work_under_the_old_name() {
    let mut fleet = ServerRegistry::default();
    let old = fleet.apply_registration(at(0), draining(registration("i-1", 5, 3)));
    let new = fleet.apply_registration(at(10), registration("i-1", 6, 1));
    assert_ne!(old, new);
    assert!(new.is_some_and(|key| fleet.takes_work(key)));
    assert!(
        fleet
            .apply_registration(at(20), registration("i-1", 5, 4))
            .is_none()
    );
}

#[test]
fn a_heartbeat_that_was_delayed_behind_the_removal_brings_no_server_back() {
    let mut fleet = ServerRegistry::default();
    fleet.apply_registration(at(0), registration("i-1", 5, 7));
    fleet.apply_removal(at(10), "i-1");
    assert!(
        fleet
            .apply_registration(at(20), registration("i-1", 5, 6))
            .is_none()
    );
    assert!(
        fleet
            .apply_registration(at(30), registration("i-1", 5, 8))
            .is_some()
    );
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_is_used_until_it_stays_missing() {
    let mut fleet = ServerRegistry::default();
    let stays = fleet
        .apply_registration(at(0), registration("i-1", 5, 1))
        .expect("a new server");
    let comes_back = fleet
        .apply_registration(at(0), registration("i-2", 5, 1))
        .expect("a new server");
    fleet.record_store_recovery(at(9_000));
    fleet.apply_removal(at(9_000), "i-1");
    fleet.apply_removal(at(9_000), "i-2");
    assert!(matches!(
        fleet.server(stays).phase,
        ServerPhase::Expired { .. }
    ));
    fleet.apply_registration(at(10_000), registration("i-2", 5, 2));
    fleet.remove_expired(at(11_000));
    assert!(!fleet.takes_work(stays));
    assert!(fleet.takes_work(comes_back));
}

fn departure(heartbeat: u64, is_removed: bool) -> ServerDeparture {
    ServerDeparture {
        id: "i-1".to_owned(),
        started_at_ms: 5,
        heartbeat,
        is_removed,
    }
}

#[test]
fn an_entry_that_a_peer_passes_on_behind_the_removal_brings_no_server_back() {
    let mut fleet = ServerRegistry::default();
    // This host saw heartbeat 3 last; the peer that reads the store saw 5 before the removal.
    fleet.apply_registration(at(0), registration("i-1", 5, 3));
    fleet.apply_departure(at(10), &departure(5, true));
    assert!(
        fleet
            .apply_registration(at(20), registration("i-1", 5, 5))
            .is_none()
    );
    assert!(
        fleet
            .apply_registration(at(30), registration("i-1", 5, 6))
            .is_some()
    );
}

#[test]
fn old_news_of_a_removal_does_not_remove_a_server_that_came_back() {
    let mut fleet = ServerRegistry::default();
    fleet.apply_departure(at(0), &departure(5, true));
    let key = fleet
        .apply_registration(at(10), registration("i-1", 5, 6))
        .expect("it came back");
    fleet.apply_departure(at(20), &departure(5, true));
    assert!(fleet.takes_work(key));
    fleet.apply_departure(at(30), &departure(5, false));
    assert!(!fleet.takes_work(key), "draining is final");
}

#[test]
fn a_departure_that_is_heard_before_the_entry_counts() {
    let mut fleet = ServerRegistry::default();
    fleet.apply_departure(at(0), &departure(1, false));
    assert!(
        fleet
            .apply_registration(at(10), registration("i-1", 5, 1))
            .is_none()
    );
    assert!(
        fleet
            .apply_registration(at(15), registration("i-1", 5, 9))
            .is_none()
    );
    assert_eq!(fleet.of_service("draft-fleet").count(), 0);
    let next = fleet
        .apply_registration(at(20), registration("i-1", 6, 1))
        .expect("an entry");
    assert!(fleet.takes_work(next));
}

#[test]
fn peers_hear_of_changes_and_departures_for_a_while_only() {
    let mut fleet = ServerRegistry::default();
    fleet.apply_registration(at(0), registration("i-1", 5, 1));
    assert_eq!(fleet.updates(at(100), UpdateScope::All).len(), 1);
    assert!(fleet.updates(at(5_000), UpdateScope::All).is_empty());
    fleet.apply_registration(at(5_000), draining(registration("i-1", 5, 2)));
    assert_eq!(fleet.departures(at(6_000), UpdateScope::All, None).len(), 1);
    assert!(
        fleet
            .departures(at(60_000), UpdateScope::All, None)
            .is_empty()
    );
}

proptest! {
    /// No order of entries, removals and departures lets a server take work again that drains.
    #[test]
    fn leaving_is_final_within_an_incarnation(
        steps in prop::collection::vec((0..3_u8, 1..4_u64, 1..20_u64), 1..60),
    ) {
        let mut fleet = ServerRegistry::default();
        let mut drained = Vec::new();
        for (index, (kind, born, beat)) in steps.into_iter().enumerate() {
            let now = at(index as u64 * 10);
            match kind {
                0 => {
                    fleet.apply_registration(now, registration("i-1", born, beat));
                }
                1 => {
                    let entry = draining(registration("i-1", born, beat));
                    let known = fleet.find("i-1").map(|key| fleet.server(key).registration.clone());
                    let is_current = known.is_none_or(|known| (known.started_at_ms, known.heartbeat) <= (born, beat));
                    if fleet.apply_registration(now, entry).is_some() && is_current {
                        drained.push(born);
                    }
                }
                _ => {
                    fleet.apply_removal(now, "i-1");
                }
            }
            for (_, server) in fleet.of_service("draft-fleet") {
                prop_assert_eq!(server.registration.state, RegistrationState::Ready);
                prop_assert!(!drained.contains(&server.registration.started_at_ms));
            }
        }
    }
}

/// Replays 46 servers taken back at once in a fleet of 86 hosts: the links of collecting hosts were
/// full of departures that all hosts told back five times a second for ten seconds.
#[test]
fn departures_of_a_whole_zone_leave_the_links_free() {
    let mut reader = ServerRegistry::default();
    let mut follower = ServerRegistry::default();
    for server in 0..46 {
        let name = format!("i-{server}");
        reader.apply_registration(at(0), registration(&name, 5, 1));
        follower.merge_registration(at(0), registration(&name, 5, 1));
        reader.apply_removal(at(5_000), &name);
    }
    for departure in reader.departures(at(5_100), UpdateScope::Local, None) {
        follower.apply_departure(at(5_100), &departure);
    }
    assert_eq!(follower.of_service("draft-fleet").count(), 0);
    let (mut told_back, mut passed_on) = (0, 0);
    for turn in 0..50 {
        let now = at(5_200 + turn * 200);
        told_back += follower
            .departures(now, UpdateScope::Local, Some(turn))
            .len();
        passed_on += reader.departures(now, UpdateScope::All, Some(turn)).len();
    }
    assert_eq!(told_back, 0);
    // All of them while they are fresh, a fifth of them in each digest later.
    assert!(passed_on <= 46 * (7 + 43 / 5 + 1), "{passed_on}");
}

#[test]
fn an_older_departure_is_named_in_every_fifth_digest() {
    let mut fleet = ServerRegistry::default();
    fleet.apply_registration(at(0), registration("i-1", 5, 1));
    fleet.apply_removal(at(0), "i-1");
    let named = (0..10_u64).filter(|turn| {
        let told = fleet.departures(at(4_000), UpdateScope::All, Some(*turn));
        !told.is_empty()
    });
    assert_eq!(named.count(), 2);
}

#[test]
fn what_a_host_learns_itself_is_told_though_a_peer_told_something_before() {
    let mut fleet = ServerRegistry::default();
    fleet.merge_registration(at(0), registration("i-1", 5, 1));
    assert!(fleet.updates(at(10), UpdateScope::Local).is_empty());
    assert_eq!(fleet.updates(at(10), UpdateScope::All).len(), 1);
    fleet.apply_registration(at(500), draining(registration("i-1", 5, 2)));
    assert_eq!(fleet.departures(at(600), UpdateScope::Local, None).len(), 1);
}
