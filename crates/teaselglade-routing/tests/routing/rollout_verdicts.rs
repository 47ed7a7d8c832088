//! Verdicts that a host finds at its start and that may be those of earlier orders.

use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use teaselglade_routing::rollout::{RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage};

use super::fixture::{at, registration};

const SERVICE: &str = "draft-fleet";
const VERDICTS: [RolloutStage; 2] = [RolloutStage::RolledBack, RolloutStage::Completed];

fn desk(name: &str) -> RolloutDesk {
    let bounds = RolloutBounds {
        exposure_share: 0.1,
        exposure_slack: 50.0,
    };
    RolloutDesk::new(name, Some(bounds))
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        over_ms: 12_000,
        number: 3,
    }
}

fn registry() -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), registration("i-old", 1, 1));
    let new = ServerRegistration {
        version: "v2".to_owned(),
        ..registration("i-new", 2, 1)
    };
    registry.apply_registration(at(0), new);
    registry
}

/// Starts a host that finds an order and a verdict in the store.
fn start(name: &str, verdict: RolloutStage) -> RolloutDesk {
    let mut started = desk(name);
    started.record_order(at(100), order(), 2, true);
    started.record_listed_verdict(at(100), SERVICE, 3, verdict);
    started.update(at(100), &registry(), &[SERVICE]);
    started
}

#[test]
fn an_earlier_verdict_that_a_starting_host_finds_ends_a_repeated_order_nowhere() {
    for verdict in VERDICTS {
        let mut leader = desk("edge-1");
        leader.record_order(at(0), order(), 2, false);
        leader.update(at(0), &registry(), &[SERVICE]);
        let mut started = start("edge-2", verdict);
        assert_eq!(started.stage(SERVICE), Some(verdict));
        for number in 0..12 {
            leader.merge(at(200), started.report(at(200), 1, number), 2);
            leader.merge(at(200), started.aggregate(at(200), number), 2);
        }
        started.merge(at(300), leader.report(at(300), 1, 1), 2);
        for host in [&mut leader, &mut started] {
            host.update(at(400), &registry(), &[SERVICE]);
            assert_eq!(
                host.stage(SERVICE),
                Some(RolloutStage::Trial),
                "{verdict:?}"
            );
        }
        assert!(!started.report(at(400), 1, 1).orders.is_empty());
    }
}

#[test]
fn an_earlier_verdict_that_is_read_after_a_running_order_is_heard_of_is_passed_over() {
    for verdict in VERDICTS {
        let mut leader = desk("edge-1");
        leader.record_order(at(0), order(), 2, false);
        let mut started = desk("edge-2");
        started.merge(at(50), leader.report(at(50), 1, 1), 2);
        started.record_listed_verdict(at(100), SERVICE, 3, verdict);
        assert_eq!(started.stage(SERVICE), Some(RolloutStage::Trial));
    }
}

#[test]
fn a_verdict_that_the_leader_confirms_is_told_to_all() {
    for verdict in VERDICTS {
        let (mut leader, mut started) = (start("edge-1", verdict), start("edge-2", verdict));
        // As the leader does once it has read the store.
        leader.record_verdict(at(200), SERVICE, 3, verdict);
        started.merge(at(300), leader.report(at(300), 1, 1), 2);
        for host in [&mut leader, &mut started] {
            host.update(at(400), &registry(), &[SERVICE]);
            assert_eq!(host.stage(SERVICE), Some(verdict));
            assert_eq!(host.report(at(400), 1, 1).orders.len(), 1);
        }
    }
}
