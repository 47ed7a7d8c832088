//! What a leader does that knows only a part of the servers.

use teaselglade_routing::registry::{RegistrationState, ServerRegistration, ServerRegistry};
use teaselglade_routing::rollout::{
    AttemptEvidence, RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage,
};

use super::fixture::{at, registration};

const SERVICE: &str = "draft-fleet";
const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.1,
    exposure_slack: 50.0,
};

fn versioned(id: &str, version: &str) -> ServerRegistration {
    ServerRegistration {
        version: version.to_owned(),
        ..registration(id, if version == "v1" { 1 } else { 2 }, 1)
    }
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        over_ms: 12_000,
        number: 3,
    }
}

/// Leads for a span of which the old server is registered in none; returns the stages shown.
fn lead_without_old(desk: &mut RolloutDesk, from: u64, until: u64) -> Vec<RolloutStage> {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), versioned("i-new", "v2"));
    let mut shown = Vec::new();
    for now in (from..until).step_by(100) {
        desk.update(at(now), &registry, &[SERVICE]);
        shown.extend(desk.lead(at(now), 0).into_iter().map(|status| status.stage));
    }
    shown
}

#[test]
fn a_leader_that_sees_only_new_servers_for_a_moment_does_not_move_the_traffic() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), versioned("i-old", "v1"));
    registry.apply_registration(at(0), versioned("i-new", "v2"));
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order(), 1, false);
    desk.update(at(0), &registry, &[SERVICE]);
    desk.lead(at(0), 0);
    let shown = lead_without_old(&mut desk, 100, 1_100);
    assert!(
        shown.iter().all(|stage| *stage == RolloutStage::Trial),
        "{shown:?}"
    );
    desk.update(at(1_200), &registry, &[SERVICE]);
    assert_eq!(desk.stage(SERVICE), Some(RolloutStage::Trial));
}

#[test]
fn a_new_leader_that_has_not_read_the_old_servers_yet_does_not_complete_the_order() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), versioned("i-old", "v1"));
    registry.apply_registration(at(0), versioned("i-new", "v2"));
    let mut peer = RolloutDesk::new("edge-2", Some(BOUNDS));
    peer.record_order(at(0), order(), 2, false);
    peer.update(at(0), &registry, &[SERVICE]);
    let old = registry.find("i-old").expect("the server");
    for _ in 0..5 {
        let record = peer.record_sent(at(100), &registry, old, 1, true);
        let mut record = record.expect("an order runs");
        let answered = AttemptEvidence::Answered {
            is_failure: false,
            latency: std::time::Duration::from_millis(30),
        };
        peer.record_result(&mut record, answered);
        peer.record_closed(&record);
    }
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.merge(at(200), peer.report(at(200), 1, 1), 2);
    let shown = lead_without_old(&mut desk, 200, 1_100);
    assert!(
        shown.iter().all(|stage| *stage == RolloutStage::Trial),
        "{shown:?}"
    );
}

#[test]
fn traffic_moves_once_the_old_servers_have_gone_for_good() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), versioned("i-old", "v1"));
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order(), 1, false);
    desk.update(at(0), &registry, &[SERVICE]);
    let shown = lead_without_old(&mut desk, 100, 4_000);
    assert_eq!(shown.last(), Some(&RolloutStage::Completed));
}

#[test]
fn a_leader_that_knew_no_server_at_all_waits_once_it_finds_new_ones() {
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order(), 1, false);
    for now in (0..2_500).step_by(100) {
        desk.update(at(now), &ServerRegistry::default(), &[SERVICE]);
        desk.lead(at(now), 0);
    }
    let shown = lead_without_old(&mut desk, 2_500, 4_400);
    assert!(
        shown.iter().all(|stage| *stage == RolloutStage::Trial),
        "{shown:?}"
    );
    assert_eq!(
        lead_without_old(&mut desk, 4_400, 4_700).last(),
        Some(&RolloutStage::Completed)
    );
}

/// Leads an order for a host whose old servers all leave in the trial; returns the stages shown.
fn lead_after_leaving(leave: impl Fn(&mut ServerRegistry)) -> Vec<RolloutStage> {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), versioned("i-old", "v1"));
    registry.apply_registration(at(0), versioned("i-new", "v2"));
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order(), 1, false);
    desk.update(at(0), &registry, &[SERVICE]);
    desk.lead(at(0), 0);
    leave(&mut registry);
    let mut shown = Vec::new();
    for now in (1_000..2_500).step_by(100) {
        desk.update(at(now), &registry, &[SERVICE]);
        for is_repeat in [false, true] {
            // Before the leader's news too, as on other hosts.
            let choice = desk.choose(at(now), SERVICE, 1, is_repeat);
            let mut servers = registry.of_service(SERVICE);
            let is_served = servers.any(|(key, server)| choice.allows(key, server));
            assert!(is_served, "{now} ms: {choice:?}");
        }
        shown.extend(desk.lead(at(now), 0).into_iter().map(|status| status.stage));
    }
    shown
}

#[test]
fn the_drain_of_the_last_old_server_leaves_no_request_unserved() {
    let draining = || ServerRegistration {
        state: RegistrationState::Draining,
        heartbeat: 2,
        ..versioned("i-old", "v1")
    };
    let shown = lead_after_leaving(|registry| {
        registry.apply_registration(at(900), draining());
    });
    assert_eq!(shown.first(), Some(&RolloutStage::Completed));
    let shown = lead_after_leaving(|registry| {
        registry.apply_removal(at(900), "i-old");
    });
    assert_eq!(shown.first(), Some(&RolloutStage::Completed));
}

#[test]
fn a_short_order_for_the_version_in_service_is_completed_beside_a_silent_peer() {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), versioned("i-new", "v2"));
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    let short = RolloutOrder {
        over_ms: 2_000,
        ..order()
    };
    desk.record_order(at(0), short, 2, false);
    let mut shown = Vec::new();
    for now in (0..2_500).step_by(100) {
        desk.update(at(now), &registry, &[SERVICE]);
        shown.extend(desk.lead(at(now), 1).into_iter().map(|status| status.stage));
    }
    assert!(!shown.contains(&RolloutStage::RolledBack), "{shown:?}");
    assert_eq!(shown.last(), Some(&RolloutStage::Completed));
}
