//! Servers by incarnation: leaving is final, expired registrations return or are removed.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_routing::registry::{
    RegistrationState, ServerAdvice, ServerDeparture, ServerListing, ServerPhase, ServerRegistry,
    StorePosition, UpdateScope,
};

use super::fixture::{at, draining, registration};

#[test]
fn a_server_that_registers_while_a_listing_is_read_is_kept() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), registration("i-1", 1, 1));
    registry.apply_registration(at(0), registration("i-2", 1, 1));
    let requested_at = at(1_000);
    registry.merge_registration(at(1_040), registration("i-3", 1, 1));
    let listing = ServerListing {
        requested_at,
        end: StorePosition::default(),
        registrations: vec![registration("i-1", 1, 2)],
        unreadable: Vec::new(),
    };
    registry.apply_listing(at(1_050), listing);
    let mut known: Vec<&str> = registry
        .of_service("draft-fleet")
        .map(|(_, server)| server.registration.id.as_str())
        .collect();
    known.sort_unstable();
    assert_eq!(known, ["i-1", "i-3"]);
}

#[test]
fn a_delayed_heartbeat_does_not_bring_back_a_leaving_server() {
    let mut registry = ServerRegistry::default();
    let key = registry
        .apply_registration(at(0), registration("i-1", 5, 1))
        .expect("a new server");
    registry.apply_registration(at(10), draining(registration("i-1", 5, 3)));
    registry.apply_registration(at(20), registration("i-1", 5, 2));
    registry.apply_registration(at(30), registration("i-1", 5, 4));
    assert!(!registry.takes_work(key));
    registry.apply_removal(at(40), "i-1");
    assert!(
        registry
            .apply_registration(at(50), registration("i-1", 5, 9))
            .is_none()
    );
    assert_eq!(registry.of_service("draft-fleet").count(), 0);
}

#[test]
fn a_new_incarnation_accepts_work_under_the_old_name() {
    let mut registry = ServerRegistry::default();
    let old = registry.apply_registration(at(0), draining(registration("i-1", 5, 3)));
    let new = registry.apply_registration(at(10), registration("i-1", 6, 1));
    assert_ne!(old, new);
    assert!(new.is_some_and(|key| registry.takes_work(key)));
    assert!(
        registry
            .apply_registration(at(20), registration("i-1", 5, 4))
            .is_none()
    );
}

#[test]
fn a_heartbeat_older_than_the_removal_does_not_bring_back_the_server() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), registration("i-1", 5, 7));
    registry.apply_removal(at(10), "i-1");
    assert!(
        registry
            .apply_registration(at(20), registration("i-1", 5, 6))
            .is_none()
    );
    assert!(
        registry
            .apply_registration(at(30), registration("i-1", 5, 8))
            .is_some()
    );
}

#[test]
fn a_registration_that_expired_in_a_store_outage_is_used_for_the_grace_period() {
    let mut registry = ServerRegistry::default();
    let stays_missing = registry
        .apply_registration(at(0), registration("i-1", 5, 1))
        .expect("a new server");
    let comes_back = registry
        .apply_registration(at(0), registration("i-2", 5, 1))
        .expect("a new server");
    registry.record_store_recovery(at(9_000));
    registry.apply_removal(at(9_000), "i-1");
    registry.apply_removal(at(9_000), "i-2");
    assert!(matches!(
        registry.server(stays_missing).phase,
        ServerPhase::Expired { .. }
    ));
    registry.apply_registration(at(10_000), registration("i-2", 5, 2));
    registry.remove_expired(at(11_000));
    assert!(!registry.takes_work(stays_missing));
    assert!(registry.takes_work(comes_back));
}

fn departure(heartbeat: u64, is_removed: bool) -> ServerDeparture {
    ServerDeparture {
        id: "i-1".to_owned(),
        started_at_ms: 5,
        heartbeat,
        is_removed,
        registered_at: StorePosition::default(),
        removed_at: StorePosition::default(),
    }
}

#[test]
fn a_departure_rejects_older_heartbeats_that_this_host_did_not_see() {
    let mut registry = ServerRegistry::default();
    // This host saw heartbeat 3 last; the store reader saw heartbeat 5 before the removal.
    registry.apply_registration(at(0), registration("i-1", 5, 3));
    registry.apply_departure(at(10), &departure(5, true));
    assert!(
        registry
            .apply_registration(at(20), registration("i-1", 5, 5))
            .is_none()
    );
    assert!(
        registry
            .apply_registration(at(30), registration("i-1", 5, 6))
            .is_some()
    );
}

#[test]
fn a_stale_departure_does_not_remove_a_server_that_came_back() {
    let mut registry = ServerRegistry::default();
    registry.apply_departure(at(0), &departure(5, true));
    let key = registry
        .apply_registration(at(10), registration("i-1", 5, 6))
        .expect("it came back");
    registry.apply_departure(at(20), &departure(5, true));
    assert!(registry.takes_work(key));
    registry.apply_departure(at(30), &departure(5, false));
    assert!(!registry.takes_work(key), "draining is final");
}

#[test]
fn a_departure_that_arrives_before_the_registration_counts() {
    let mut registry = ServerRegistry::default();
    registry.apply_departure(at(0), &departure(1, false));
    assert!(
        registry
            .apply_registration(at(10), registration("i-1", 5, 1))
            .is_none()
    );
    assert!(
        registry
            .apply_registration(at(15), registration("i-1", 5, 9))
            .is_none()
    );
    assert_eq!(registry.of_service("draft-fleet").count(), 0);
    let next = registry
        .apply_registration(at(20), registration("i-1", 6, 1))
        .expect("a registration");
    assert!(registry.takes_work(next));
}

#[test]
fn updates_and_departures_are_gossiped_for_a_limited_time() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), registration("i-1", 5, 1));
    assert_eq!(registry.updates(at(100), UpdateScope::All).len(), 1);
    assert!(registry.updates(at(5_000), UpdateScope::All).is_empty());
    registry.apply_registration(at(5_000), draining(registration("i-1", 5, 2)));
    assert_eq!(
        registry.departures(at(6_000), UpdateScope::All, None).len(),
        1
    );
    assert!(
        registry
            .departures(at(60_000), UpdateScope::All, None)
            .is_empty()
    );
}

proptest! {
    /// No order of registrations, removals and departures lets a draining server accept work again.
    #[test]
    fn leaving_is_final_within_an_incarnation(
        steps in prop::collection::vec((0..3_u8, 1..4_u64, 1..20_u64), 1..60),
    ) {
        let mut registry = ServerRegistry::default();
        let mut drained = Vec::new();
        for (index, (kind, started_at_ms, heartbeat)) in steps.into_iter().enumerate() {
            let now = at(index as u64 * 10);
            match kind {
                0 => {
                    registry.apply_registration(now, registration("i-1", started_at_ms, heartbeat));
                }
                1 => {
                    let draining = draining(registration("i-1", started_at_ms, heartbeat));
                    let known = registry
                        .find("i-1")
                        .map(|key| registry.server(key).registration.clone());
                    let is_current = known.is_none_or(|known| {
                        (known.started_at_ms, known.heartbeat) <= (started_at_ms, heartbeat)
                    });
                    if registry.apply_registration(now, draining).is_some() && is_current {
                        drained.push(started_at_ms);
                    }
                }
                _ => {
                    registry.apply_removal(now, "i-1");
                }
            }
            for (_, server) in registry.of_service("draft-fleet") {
                prop_assert_eq!(server.registration.state, RegistrationState::Ready);
                prop_assert!(!drained.contains(&server.registration.started_at_ms));
            }
        }
    }
}

/// When 46 servers were reclaimed at once in a fleet of 86 hosts, all hosts sent the departures
/// back five times a second for ten seconds and filled the aggregators' links.
#[test]
fn departures_of_a_whole_zone_do_not_fill_the_links() {
    let mut reader = ServerRegistry::default();
    let mut peer = ServerRegistry::default();
    for server in 0..46 {
        let name = format!("i-{server}");
        reader.apply_registration(at(0), registration(&name, 5, 1));
        peer.merge_registration(at(0), registration(&name, 5, 1));
        reader.apply_removal(at(5_000), &name);
    }
    for departure in reader.departures(at(5_100), UpdateScope::Local, None) {
        peer.apply_departure(at(5_100), &departure);
    }
    assert_eq!(peer.of_service("draft-fleet").count(), 0);
    let (mut echoed, mut forwarded) = (0, 0);
    for digest_number in 0..50 {
        let now = at(5_200 + digest_number * 200);
        echoed += peer
            .departures(now, UpdateScope::Local, Some(digest_number))
            .len();
        forwarded += reader
            .departures(now, UpdateScope::All, Some(digest_number))
            .len();
    }
    assert_eq!(echoed, 0);
    // Each digest names all of them while they are recent, and a fifth of them later.
    assert!(forwarded <= 46 * (7 + 43 / 5 + 1), "{forwarded}");
}

#[test]
fn an_older_departure_is_named_in_every_fifth_digest() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), registration("i-1", 5, 1));
    registry.apply_removal(at(0), "i-1");
    let named = (0..10_u64).filter(|digest_number| {
        let departures = registry.departures(at(4_000), UpdateScope::All, Some(*digest_number));
        !departures.is_empty()
    });
    assert_eq!(named.count(), 2);
}

#[test]
fn a_local_change_is_gossiped_after_an_update_from_a_peer() {
    let mut registry = ServerRegistry::default();
    registry.merge_registration(at(0), registration("i-1", 5, 1));
    assert!(registry.updates(at(10), UpdateScope::Local).is_empty());
    assert_eq!(registry.updates(at(10), UpdateScope::All).len(), 1);
    registry.apply_registration(at(500), draining(registration("i-1", 5, 2)));
    assert_eq!(
        registry.departures(at(600), UpdateScope::Local, None).len(),
        1
    );
}

#[test]
fn a_departure_that_a_server_told_itself_is_final_for_its_incarnation() {
    let mut registry = ServerRegistry::default();
    let key = registry
        .apply_registration(at(0), registration("i-1", 10, 3))
        .expect("a server");
    assert!(registry.record_own_departure(at(100), key));
    assert!(!registry.record_own_departure(at(110), key));
    let departures = registry.departures(at(200), UpdateScope::Local, Some(1));
    assert_eq!(departures.len(), 1);
    // A later heartbeat of the store that says `ready` is older than the server's own word.
    registry.apply_registration(at(300), registration("i-1", 10, 4));
    assert!(!registry.takes_work(key));
    let mut peer = ServerRegistry::default();
    let known = peer.apply_registration(at(0), registration("i-1", 10, 5));
    peer.apply_departure(at(200), &departures[0]);
    assert!(!peer.takes_work(known.expect("a server")));
    // A later start is another incarnation, whatever arrives of the earlier one.
    let restarted = peer.apply_registration(at(400), registration("i-1", 11, 1));
    peer.apply_departure(at(500), &departures[0]);
    assert!(peer.takes_work(restarted.expect("a server")));
}

#[test]
fn a_server_that_rests_is_not_available_until_its_time_ends() {
    let mut registry = ServerRegistry::default();
    let first = registry.apply_registration(at(0), registration("i-1", 10, 1));
    let second = registry.apply_registration(at(0), registration("i-2", 10, 1));
    let (first, second) = (first.expect("a server"), second.expect("a server"));
    registry.record_rest(first, at(900));
    registry.record_rest(first, at(500));
    let available = |registry: &ServerRegistry, now| {
        let servers = registry.available(at(now), "draft-fleet");
        servers.map(|(key, _)| key).collect::<Vec<_>>()
    };
    assert_eq!(available(&registry, 600), [second]);
    assert_eq!(registry.next_return(at(600), "draft-fleet"), None);
    registry.record_rest(second, at(2_000));
    assert_eq!(available(&registry, 600), []);
    assert_eq!(registry.next_return(at(600), "draft-fleet"), Some(at(900)));
    assert_eq!(available(&registry, 900), [first]);
    // Capacity that rests is still there.
    assert_eq!(registry.of_service("draft-fleet").count(), 2);
}

/// A registration lapses and comes back within the time for which its server wants no requests.
#[test]
fn a_rest_outlives_the_registration_of_its_incarnation() {
    let mut registry = ServerRegistry::default();
    let key = registry
        .apply_registration(at(0), registration("i-1", 10, 1))
        .expect("a server");
    registry.record_rest(key, at(20_000));
    registry.apply_removal(at(3_600), "i-1");
    registry.remove_expired(at(4_000));
    let back = registry.apply_registration(at(5_000), registration("i-1", 10, 2));
    assert!(back.is_some());
    assert_eq!(registry.available(at(5_100), "draft-fleet").count(), 0);
    assert_eq!(
        registry.next_return(at(5_100), "draft-fleet"),
        Some(at(20_000))
    );
    assert_eq!(registry.available(at(20_000), "draft-fleet").count(), 1);
    // What an earlier incarnation asked for does not bind a later one.
    registry.apply_registration(at(6_000), registration("i-1", 11, 1));
    assert_eq!(registry.available(at(6_000), "draft-fleet").count(), 1);
}

#[test]
fn a_rest_is_kept_whole_up_to_the_longest_that_a_sound_server_asks_for() {
    for seconds in [1, 30, 50, 600, 3_600] {
        let rest = Duration::from_secs(seconds);
        let advice = ServerAdvice::default().rest(rest);
        assert_eq!(advice.rest_time(), Some(rest));
    }
}

#[test]
fn a_listing_with_an_unreadable_entry_does_not_remove_its_server() {
    let mut registry = ServerRegistry::default();
    for id in ["i-1", "i-2"] {
        let mut registration = registration(id, 1, 1);
        registration.position = StorePosition::of_record(0, 1);
        registry.apply_registration(at(0), registration);
    }
    let listing = ServerListing {
        requested_at: at(1_000),
        end: StorePosition::before_offset(0, 9),
        registrations: Vec::new(),
        unreadable: vec!["i-1".to_owned()],
    };
    registry.apply_listing(at(1_050), listing);
    assert!(registry.find("i-1").is_some());
    assert!(registry.find("i-2").is_none());
}
