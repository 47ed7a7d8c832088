//! Defences of roll-outs that other tests pass without; see the table in `docs/PROOFS.md`.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use teaselglade_routing::rollout::{
    AttemptEvidence, RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage, VersionChoice,
};

use super::fixture::{at, registration};

const SERVICE: &str = "draft-fleet";
const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.1,
    exposure_slack: 50.0,
};
const OVER_MS: u64 = 12_000;

fn registry() -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    for (id, version, started_at_ms) in [
        ("i-old-0", "v1", 1),
        ("i-old-1", "v1", 1),
        ("i-new-0", "v2", 2),
        ("i-new-1", "v2", 2),
    ] {
        let registration = ServerRegistration {
            version: version.to_owned(),
            ..registration(id, started_at_ms, 1)
        };
        registry.apply_registration(at(0), registration);
    }
    registry
}

fn desk(name: &str, registry: &ServerRegistry) -> RolloutDesk {
    let order = RolloutOrder {
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        over_ms: OVER_MS,
        number: 3,
    };
    let mut desk = RolloutDesk::new(name, Some(BOUNDS));
    desk.record_order(at(0), order, 1, false);
    desk.update(at(0), registry, &[SERVICE]);
    desk
}

/// Returns the first server of the choice's first scope.
fn first_server(registry: &ServerRegistry, choice: &VersionChoice) -> Option<ServerKey> {
    let scope = choice.scope();
    let mut servers = registry.of_service(SERVICE);
    let allowed = servers.find(|(key, server)| scope.allows(*key, server));
    allowed.map(|(key, _)| key)
}

fn is_new(registry: &ServerRegistry, choice: &VersionChoice) -> bool {
    let server = first_server(registry, choice).expect("a server");
    registry.server(server).registration.version == "v2"
}

/// Records a good answer of a server to a first attempt.
fn answer(desk: &mut RolloutDesk, registry: &ServerRegistry, now: Timestamp, server: ServerKey) {
    let record = desk.record_sent(now, registry, server, 1, true);
    let mut record = record.expect("an order runs");
    let answered = AttemptEvidence::Answered {
        is_failure: false,
        latency: Duration::from_millis(30),
    };
    desk.record_result(&mut record, answered);
    desk.record_closed(&record);
}

/// Returns a desk that may send some requests to the new version, as the old one answered 400.
fn desk_with_credit(registry: &ServerRegistry) -> RolloutDesk {
    let mut desk = desk("edge-1", registry);
    let old = registry.find("i-old-0").expect("a server");
    for _ in 0..400 {
        answer(&mut desk, registry, at(0), old);
    }
    desk
}

/// Sends one request and returns whether it went to the new version.
fn send(desk: &mut RolloutDesk, registry: &ServerRegistry, now: Timestamp) -> bool {
    let choice = desk.choose(now, SERVICE, 1, false);
    let server = first_server(registry, &choice).expect("a server");
    answer(desk, registry, now, server);
    is_new(registry, &choice)
}

#[test]
fn a_repeat_goes_to_the_old_version_while_there_is_credit() {
    let registry = registry();
    let mut desk = desk_with_credit(&registry);
    let repeat = desk.choose(at(0), SERVICE, 1, true);
    assert!(!is_new(&registry, &repeat));
    let first = desk.choose(at(0), SERVICE, 1, false);
    assert!(is_new(&registry, &first));
}

#[test]
fn credit_of_a_request_that_was_not_placed_is_used_for_the_next() {
    let registry = registry();
    let mut desk = desk_with_credit(&registry);
    for _ in 0..200 {
        desk.choose(at(0), SERVICE, 1, false);
    }
    let spent = desk.choose(at(0), SERVICE, 1, false);
    assert!(!is_new(&registry, &spent));
    desk.give_back(SERVICE, 1);
    let next = desk.choose(at(0), SERVICE, 1, false);
    assert!(is_new(&registry, &next));
}

#[test]
fn a_busy_route_leaves_credit_for_a_rare_one() {
    let registry = registry();
    let mut desk = desk_with_credit(&registry);
    assert!(is_new(&registry, &desk.choose(at(0), SERVICE, 2, false)));
    while is_new(&registry, &desk.choose(at(0), SERVICE, 1, false)) {}
    assert!(is_new(&registry, &desk.choose(at(0), SERVICE, 2, false)));
}

/// Runs a sound version until it is due for the next stage, at a leader with this many peers.
fn stage_when_due(peer_count: usize) -> Option<RolloutStage> {
    let registry = registry();
    let mut desk = desk("edge-1", &registry);
    for now in (0..OVER_MS * 3 / 5).step_by(10) {
        send(&mut desk, &registry, at(now));
        if now % 100 == 0 {
            desk.update(at(now), &registry, &[SERVICE]);
            desk.lead(at(now), peer_count);
        }
    }
    desk.stage(SERVICE)
}

#[test]
fn a_leader_that_hears_few_hosts_does_not_widen_the_trial() {
    assert_eq!(stage_when_due(0), Some(RolloutStage::Quarter));
    assert_eq!(stage_when_due(4), Some(RolloutStage::Trial));
}

/// It would not hear of a verdict either.
#[test]
fn a_host_that_hears_nothing_sends_nothing_to_a_version_that_is_not_completed() {
    let registry = registry();
    let mut desk = desk("edge-1", &registry);
    desk.record_verdict(at(100), SERVICE, 3, RolloutStage::Half);
    desk.update(at(100), &registry, &[SERVICE]);
    let mut sent = |from: u64| {
        let requests = (0..40).map(|number| at(from + number));
        requests
            .filter(|now| send(&mut desk, &registry, *now))
            .count()
    };
    assert_eq!(sent(200), 20);
    assert_eq!(sent(1_600), 0);
}

/// Only the peer had the new version on trial; it counts from nothing after its restart.
#[test]
fn answers_that_a_peer_told_before_its_restart_still_count() {
    let registry = registry();
    let server = |id: &str| registry.find(id).expect("a server");
    let mut leader = desk("edge-1", &registry);
    for _ in 0..2_000 {
        answer(&mut leader, &registry, at(0), server("i-old-0"));
    }
    let mut peer = desk("edge-2", &registry);
    for id in ["i-new-0", "i-new-1"].repeat(15) {
        answer(&mut peer, &registry, at(0), server(id));
    }
    leader.merge(at(100), peer.report(at(100), 1, 1), 2);
    let restarted = desk("edge-2", &registry);
    leader.merge(at(6_700), restarted.report(at(6_700), 2, 1), 2);
    leader.update(at(6_700), &registry, &[SERVICE]);
    leader.lead(at(6_700), 1);
    assert_eq!(leader.stage(SERVICE), Some(RolloutStage::Quarter));
}
