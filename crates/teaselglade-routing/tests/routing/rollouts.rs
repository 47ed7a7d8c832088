//! Exposure of a new version, its test, and the states of an order.

use std::collections::BTreeSet;
use std::iter::successors;
use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use teaselglade_routing::rollout::{
    AnswerTally, AttemptEvidence, RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage,
    RouteEvidence, ServerTally, VersionChoice, VersionEvidence, VersionTest,
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

fn registry(old: usize, new: usize) -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    for number in 0..old {
        registry.apply_registration(at(0), versioned(&format!("i-old-{number}"), "v1"));
    }
    for number in 0..new {
        registry.apply_registration(at(0), versioned(&format!("i-new-{number}"), "v2"));
    }
    registry
}

fn order(target: &str, number: u64) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target: target.to_owned(),
        over_ms: 12_000,
        number,
    }
}

fn stage(desk: &RolloutDesk) -> Option<RolloutStage> {
    desk.suspicions().next().map(|(_, stage, ..)| stage)
}

/// Sends one request and returns whether it went to the new version, whose answers are bad.
fn send(desk: &mut RolloutDesk, registry: &ServerRegistry, now: Timestamp, is_bad: bool) -> bool {
    let preview = desk.preview(now, SERVICE, 1);
    let choice = desk.choose(now, SERVICE, 1, false);
    assert_eq!(preview, choice);
    let Some(server) = first_allowed(registry, &choice) else {
        return false;
    };
    let is_new = registry.server(server).registration.version == "v2";
    let record = desk.record_sent(now, registry, server, 1, true);
    let mut record = record.expect("an order runs");
    let answered = AttemptEvidence::Answered {
        is_failure: is_new && is_bad,
        latency: Duration::from_millis(30),
    };
    desk.record_result(&mut record, answered);
    desk.record_closed(&record);
    is_new
}

fn first_allowed(registry: &ServerRegistry, choice: &VersionChoice) -> Option<ServerKey> {
    let scope = choice.scope();
    let mut servers = registry.of_service(SERVICE);
    let allowed = servers.find(|(key, server)| scope.allows(*key, server));
    let fallback = || first_allowed(registry, &choice.fallback()?);
    allowed.map(|(key, _)| key).or_else(fallback)
}

/// Returns the versions that an attempt may use in its first scope or a later one.
fn allowed_versions(registry: &ServerRegistry, choice: VersionChoice) -> BTreeSet<&str> {
    let choices = successors(Some(choice), VersionChoice::fallback);
    let of_choice = choices.flat_map(|choice| {
        let servers = registry.of_service(SERVICE);
        let allowed = servers.filter(|(key, server)| choice.scope().allows(*key, server));
        let versions = allowed.map(|(_, server)| server.registration.version.as_str());
        versions.collect::<Vec<_>>()
    });
    of_choice.collect()
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Send(usize),
    /// A host's report reaches another one.
    Report(usize, usize),
    Aggregate(usize, usize),
    Update(usize),
    /// A host leads, whether or not another one does.
    Lead(usize),
    Wait(u64),
}

fn steps(hosts: usize) -> impl Strategy<Value = Vec<Step>> {
    let host = 0..hosts;
    let step = prop_oneof![
        12 => host.clone().prop_map(Step::Send),
        2 => (host.clone(), host.clone()).prop_map(|(from, to)| Step::Report(from, to)),
        1 => (host.clone(), host.clone()).prop_map(|(from, to)| Step::Aggregate(from, to)),
        2 => host.clone().prop_map(Step::Update),
        1 => host.prop_map(Step::Lead),
        2 => (0..400_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..1_500)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Hosts that hear nothing of each other, or late, and any number of leaders keep the sum.
    #[test]
    fn a_bad_version_gets_its_share_under_any_interleaving(
        (hosts, steps) in (1..30_usize).prop_flat_map(|hosts| (Just(hosts), steps(hosts)))
    ) {
        let registry = registry(4, 4);
        let mut desks: Vec<RolloutDesk> = (0..hosts)
            .map(|host| RolloutDesk::new(format!("edge-{host}"), Some(BOUNDS)))
            .collect();
        for desk in &mut desks {
            desk.record_order(at(0), order("v2", 3), hosts, false);
            desk.update(at(0), &registry, &[SERVICE]);
        }
        let (mut now, mut requests, mut exposed) = (0, 0, 0);
        for step in steps {
            match step {
                Step::Send(host) => {
                    requests += 1;
                    exposed += u32::from(send(&mut desks[host], &registry, at(now), true));
                }
                Step::Report(from, to) if from != to => {
                    let report = desks[from].report(at(now), 1, 1);
                    desks[to].merge(at(now), report, hosts);
                }
                Step::Aggregate(from, to) if from != to => {
                    let report = desks[from].aggregate(at(now), 1);
                    desks[to].merge(at(now), report, hosts);
                }
                Step::Report(..) | Step::Aggregate(..) => {}
                Step::Update(host) => {
                    desks[host].update(at(now), &registry, &[SERVICE]);
                }
                Step::Lead(host) => {
                    desks[host].update(at(now), &registry, &[SERVICE]);
                    desks[host].lead(at(now), hosts - 1);
                }
                Step::Wait(millis) => now += millis,
            }
            let bound = f64::from(requests) * BOUNDS.exposure_share + BOUNDS.exposure_slack;
            prop_assert!(f64::from(exposed) <= bound, "{exposed} of {requests}");
        }
    }

    /// Reports in any order, repeated or not, lead to the same stage.
    #[test]
    fn a_verdict_is_final_in_any_order_of_reports(
        stages in prop::collection::vec(0..6_usize, 1..12)
    ) {
        let all = [
            RolloutStage::Trial,
            RolloutStage::Quarter,
            RolloutStage::Half,
            RolloutStage::Whole,
            RolloutStage::Completed,
            RolloutStage::RolledBack,
        ];
        let merge = |order: &[usize]| {
            order.iter().fold(RolloutStage::Trial, |stage, next| stage.merged(all[*next]))
        };
        let mut sorted = stages.clone();
        sorted.sort_unstable();
        let twice = [stages.clone(), stages.clone()].concat();
        prop_assert_eq!(merge(&stages), merge(&sorted));
        prop_assert_eq!(merge(&stages), merge(&twice));
    }
}

#[test]
fn a_version_without_an_order_gets_nothing_until_one_would_have_arrived() {
    let mut registry = registry(2, 0);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.update(at(0), &registry, &[SERVICE]);
    registry.apply_registration(at(100), versioned("i-new", "v2"));
    let new = registry.find("i-new").expect("the server");
    let is_used = |desk: &mut RolloutDesk, registry: &ServerRegistry, now: u64| {
        let choice = desk.choose(at(now), SERVICE, 1, false);
        choice.scope().allows(new, registry.server(new))
    };
    assert!(!is_used(&mut desk, &registry, 100));
    desk.update(at(200), &registry, &[SERVICE]);
    assert!(!is_used(&mut desk, &registry, 4_000));
    desk.update(at(5_200), &registry, &[SERVICE]);
    assert!(is_used(&mut desk, &registry, 5_200));
}

#[test]
fn a_version_that_a_starting_host_finds_beside_an_older_one_waits_too() {
    let registry = registry(2, 2);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.update(at(0), &registry, &[SERVICE]);
    let choice = desk.choose(at(0), SERVICE, 1, false);
    let new = registry.find("i-new-0").expect("the server");
    assert!(!choice.scope().allows(new, registry.server(new)));
}

#[test]
fn repeats_of_a_request_go_to_the_old_version() {
    let registry = registry(2, 2);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order("v2", 3), 1, false);
    desk.update(at(0), &registry, &[SERVICE]);
    for _ in 0..100 {
        send(&mut desk, &registry, at(0), false);
    }
    let choice = desk.choose(at(0), SERVICE, 1, true);
    assert_eq!(allowed_versions(&registry, choice), BTreeSet::from(["v1"]));
}

#[test]
fn a_second_order_gives_neither_version_that_was_not_completed_the_rest() {
    for verdict in [None, Some(RolloutStage::RolledBack)] {
        for bounds in [None, Some(BOUNDS)] {
            let mut registry = registry(2, 2);
            registry.apply_registration(at(0), versioned("i-third", "v3"));
            let mut desk = RolloutDesk::new("edge-1", bounds);
            desk.record_order(at(0), order("v2", 3), 1, false);
            desk.update(at(0), &registry, &[SERVICE]);
            if let Some(verdict) = verdict {
                desk.record_verdict(at(10), SERVICE, 3, verdict);
            }
            desk.record_order(at(20), order("v3", 4), 1, false);
            for now in [20, 100, 6_000] {
                let choice = desk.choose(at(now), SERVICE, 1, true);
                assert_eq!(allowed_versions(&registry, choice), BTreeSet::from(["v1"]));
                desk.update(at(now), &registry, &[SERVICE]);
            }
        }
    }
}

#[test]
fn a_rare_route_does_not_stop_the_trial_of_others() {
    let registry = registry(2, 2);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order("v2", 3), 100, false);
    desk.update(at(0), &registry, &[SERVICE]);
    // Without credit, as nothing was sent before.
    desk.choose(at(0), SERVICE, 2, false);
    let mut exposed = 0;
    for _ in 0..400 {
        exposed += u32::from(send(&mut desk, &registry, at(0), false));
    }
    assert!(exposed >= 18, "{exposed}");
}

#[test]
fn a_version_that_was_rolled_back_is_not_used_even_if_it_is_the_only_one() {
    let registry = registry(0, 2);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order("v2", 3), 1, false);
    desk.record_verdict(at(10), SERVICE, 3, RolloutStage::RolledBack);
    for now in [10, 1_000, 60_000] {
        desk.update(at(now), &registry, &[SERVICE]);
        let choice = desk.choose(at(now), SERVICE, 1, false);
        assert_eq!(first_allowed(&registry, &choice), None);
    }
}

#[test]
fn a_later_order_replaces_a_running_one_and_an_older_one_does_not() {
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    assert!(desk.record_order(at(0), order("v2", 3), 1, false));
    desk.record_verdict(at(5), SERVICE, 3, RolloutStage::RolledBack);
    assert!(!desk.record_order(at(10), order("v2", 3), 1, false));
    assert!(!desk.record_order(at(10), order("v0", 2), 1, false));
    assert_eq!(stage(&desk), Some(RolloutStage::RolledBack));
    assert!(desk.record_order(at(10), order("v3", 9), 1, false));
    assert_eq!(stage(&desk), Some(RolloutStage::Trial));
}

#[test]
fn a_version_after_a_completed_one_needs_no_order() {
    for bounds in [None, Some(BOUNDS)] {
        let mut registry = registry(2, 2);
        let mut desk = RolloutDesk::new("edge-1", bounds);
        desk.record_order(at(0), order("v2", 3), 1, false);
        desk.update(at(0), &registry, &[SERVICE]);
        desk.record_verdict(at(10), SERVICE, 3, RolloutStage::Completed);
        let allows = |desk: &mut RolloutDesk, registry: &ServerRegistry, id: &str, now| {
            let key = registry.find(id).expect("the server");
            let choice = desk.choose(at(now), SERVICE, 1, false);
            choice.scope().allows(key, registry.server(key))
        };
        for now in [10, 6_000, 40_000] {
            desk.update(at(now), &registry, &[SERVICE]);
            assert!(allows(&mut desk, &registry, "i-new-0", now));
            assert!(!allows(&mut desk, &registry, "i-old-0", now));
        }
        registry.apply_registration(at(41_000), versioned("i-third", "v3"));
        desk.update(at(41_000), &registry, &[SERVICE]);
        assert!(!allows(&mut desk, &registry, "i-third", 41_000));
        desk.update(at(47_000), &registry, &[SERVICE]);
        assert!(allows(&mut desk, &registry, "i-third", 47_000));
        assert!(allows(&mut desk, &registry, "i-new-0", 47_000));
        assert!(!allows(&mut desk, &registry, "i-old-0", 47_000));
    }
}

#[test]
fn an_order_that_is_read_again_after_a_return_of_the_store_is_the_same() {
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order("v2", 3), 1, false);
    desk.record_verdict(at(5), SERVICE, 3, RolloutStage::RolledBack);
    assert!(!desk.record_order(at(10), order("v2", (1 << 40) | 3), 1, false));
    assert_eq!(stage(&desk), Some(RolloutStage::RolledBack));
}

#[test]
fn an_order_whose_servers_never_come_is_rolled_back_at_its_end() {
    let registry = registry(2, 0);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order("v2", 3), 1, false);
    for now in (0..12_000).step_by(100) {
        desk.update(at(now), &registry, &[SERVICE]);
        assert!(!send(&mut desk, &registry, at(now), false));
        desk.lead(at(now), 0);
    }
    assert_eq!(stage(&desk), Some(RolloutStage::RolledBack));
}

#[test]
fn an_order_for_the_version_in_service_leaves_no_request_unserved() {
    let registry = registry(0, 2);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order("v2", 3), 1, true);
    desk.read_servers(at(0), &registry);
    for is_repeat in [false, true] {
        let choice = desk.choose(at(0), SERVICE, 1, is_repeat);
        assert!(first_allowed(&registry, &choice).is_some());
    }
}

#[test]
fn an_order_that_is_held_back_keeps_its_target_out_of_use_beside_another_version() {
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    assert!(desk.hold_order(order("v2", 3)));
    for (old, expected) in [(2, BTreeSet::from(["v1"])), (0, BTreeSet::from(["v2"]))] {
        let registry = registry(old, 2);
        desk.update(at(6_000), &registry, &[SERVICE]);
        let choice = desk.choose(at(6_000), SERVICE, 1, false);
        let first = first_allowed(&registry, &choice).expect("a server");
        let version = registry.server(first).registration.version.as_str();
        assert!(expected.contains(version), "{version}");
    }
    assert!(desk.record_order(at(7_000), order("v2", 3), 1, true));
    assert!(!desk.hold_order(order("v2", 3)));
    assert_eq!(stage(&desk), Some(RolloutStage::Trial));
}

#[test]
fn an_order_for_an_unknown_service_changes_nothing_for_others() {
    let mut desk = RolloutDesk::new("edge-1", None);
    let unknown = RolloutOrder {
        service: "unknown".to_owned(),
        ..order("v2", 3)
    };
    desk.record_order(at(0), unknown, 1, false);
    assert_eq!(desk.choose(at(0), SERVICE, 1, false), VersionChoice::Any);
}

#[test]
fn a_host_without_orders_and_bounds_counts_and_tells_nothing() {
    let registry = registry(1, 0);
    let mut desk = RolloutDesk::new("edge-1", None);
    let server = registry.find("i-old-0").expect("the server");
    assert!(
        desk.record_sent(at(0), &registry, server, 1, true)
            .is_none()
    );
    assert!(desk.report(at(0), 1, 10).is_empty());
}

#[test]
fn a_new_leader_goes_on_from_the_reports_of_peers() {
    let registry = registry(2, 2);
    let mut desk = RolloutDesk::new("edge-1", Some(BOUNDS));
    desk.record_order(at(0), order("v2", 3), 2, false);
    let mut next = RolloutDesk::new("edge-2", Some(BOUNDS));
    next.merge(at(4_000), desk.report(at(4_000), 1, 1), 2);
    next.update(at(4_000), &registry, &[SERVICE]);
    let report = next.report(at(4_000), 1, 1);
    assert_eq!(report.orders[0].age_ms, 4_000);
    for _ in 0..400 {
        send(&mut next, &registry, at(4_000), true);
    }
    next.update(at(4_100), &registry, &[SERVICE]);
    desk.merge(at(4_200), next.report(at(4_200), 1, 1), 2);
    assert_eq!(stage(&desk), Some(RolloutStage::RolledBack));
}

fn evidence(old: (u32, u32), servers: &[(u32, u32)]) -> VersionEvidence {
    let tally = |(answers, failures): (u32, u32)| AnswerTally {
        answers,
        failures,
        ..AnswerTally::default()
    };
    let new = servers.iter().fold((0, 0), |(answers, failures), server| {
        (answers + server.0, failures + server.1)
    });
    let servers = (1..)
        .zip(servers)
        .map(|(server, (answers, failures))| ServerTally {
            server,
            answers: *answers,
            failures: *failures,
            ..ServerTally::default()
        });
    VersionEvidence {
        routes: vec![RouteEvidence {
            route: 1,
            old: tally(old),
            new: tally(new),
        }],
        servers: servers.collect(),
    }
}

#[test]
fn failures_count_by_what_the_old_version_does_and_not_by_one_server() {
    let found = |evidence: &VersionEvidence| VersionTest::default().update(at(0), evidence);
    assert!(found(&evidence((400, 0), &[(10, 5), (10, 6)])).is_some());
    // The route fails as often under the old version.
    assert!(found(&evidence((400, 190), &[(10, 5), (10, 6)])).is_none());
    // One server fails, the others run soundly.
    assert!(found(&evidence((400, 0), &[(20, 18), (20, 0), (20, 0)])).is_none());
}

#[test]
fn attempts_that_an_ended_server_broke_off_do_not_count() {
    let mut test = VersionTest::default();
    let mut counts = evidence((400, 0), &[(10, 0), (10, 0)]);
    test.update(at(0), &counts);
    for server in &mut counts.servers {
        server.broken = 20;
    }
    assert!(test.update(at(500), &counts).is_none());
    assert!(test.update(at(5_000), &counts).is_none());
    // Servers that answer again had not ended.
    for server in &mut counts.servers {
        server.answers += 1;
    }
    let finding = test.update(at(6_000), &counts).expect("a finding");
    assert_eq!(finding.statistic, "broken");
}

/// Returns the first new server that the next request on trial may use; others are answered soundly.
fn next_trial_server(desk: &mut RolloutDesk, registry: &ServerRegistry, from: u64) -> ServerKey {
    let found = (from..from + 200).find_map(|now| {
        let server = trial_server(desk, registry, now);
        send(desk, registry, at(now), false);
        server
    });
    found.expect("a trial")
}

/// Returns the first new server that a request on trial may use now.
fn trial_server(desk: &RolloutDesk, registry: &ServerRegistry, now: u64) -> Option<ServerKey> {
    let choice = desk.preview(at(now), SERVICE, 1);
    let is_trial = choice.is_trial();
    is_trial.then(|| first_allowed(registry, &choice)).flatten()
}

#[test]
fn hosts_that_hear_only_an_aggregator_try_a_version_on_other_servers_than_one_that_fails() {
    let registry = registry(4, 6);
    let mut aggregator = RolloutDesk::new("edge-1".to_owned(), Some(BOUNDS));
    let mut host = RolloutDesk::new("edge-2".to_owned(), Some(BOUNDS));
    for desk in [&mut aggregator, &mut host] {
        desk.record_order(at(0), order("v2", 3), 2, false);
        desk.update(at(0), &registry, &[SERVICE]);
    }
    let failing = next_trial_server(&mut host, &registry, 0);
    for now in 0..2_000 {
        let is_bad = trial_server(&aggregator, &registry, now) == Some(failing);
        send(&mut aggregator, &registry, at(now), is_bad);
        aggregator.update(at(now), &registry, &[SERVICE]);
    }
    assert_eq!(aggregator.stage(SERVICE), Some(RolloutStage::Trial));
    host.merge(at(2_000), aggregator.aggregate(at(2_000), 1), 2);
    host.update(at(2_000), &registry, &[SERVICE]);
    let server = next_trial_server(&mut host, &registry, 2_000);
    assert_ne!(server, failing);
}
