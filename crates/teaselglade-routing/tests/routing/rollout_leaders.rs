//! What a leader does that knows only a part of the servers.

use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
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
