//! Bad versions of services with more servers than are counted one by one.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use teaselglade_routing::rollout::{
    AttemptEvidence, RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage,
};

use super::fixture::{at, registration};

const SERVICE: &str = "draft-fleet";
const SEEDS: u64 = 40;
/// One server in this many fails all requests after its first ones.
const FAILING_PART: usize = 30;
const SOUND_ANSWERS: usize = 5;
/// Requests after the first answers of all servers.
const REQUESTS: usize = 4_000;

/// Sends requests to all new servers in the last stage; returns the stage at the end.
fn run(servers: usize, seed: u64, bad: AttemptEvidence, bad_share: f64) -> Option<RolloutStage> {
    let bounds = RolloutBounds {
        exposure_share: 0.1,
        exposure_slack: 50.0,
    };
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), registration("i-old", 1, 1));
    for number in 0..servers {
        let registration = ServerRegistration {
            version: "v2".to_owned(),
            ..registration(&format!("i-{seed}-{number}"), 2, 1)
        };
        registry.apply_registration(at(0), registration);
    }
    let find = |number: usize| registry.find(&format!("i-{seed}-{number}"));
    let keys: Vec<ServerKey> = (0..servers).filter_map(find).collect();
    let order = RolloutOrder {
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        over_ms: 600_000,
        number: 3,
    };
    let mut desk = RolloutDesk::new("edge-1", Some(bounds));
    desk.record_order(at(0), order, 1, false);
    desk.update(at(0), &registry, &[SERVICE]);
    let mut report = desk.report(at(0), 1, 1);
    report.orders[0].stage = RolloutStage::Whole;
    report.host = String::new();
    desk.merge(at(0), report, 1);
    let mut random = Pcg32::seed_from_u64(seed);
    let old = registry.find("i-old").expect("the server");
    let first = (0..SOUND_ANSWERS).flat_map(|_| 0..servers);
    let mut numbers: Vec<usize> = first.collect();
    numbers.extend((0..REQUESTS).map(|_| random.random_range(0..servers)));
    for (index, number) in numbers.into_iter().enumerate() {
        let now = at(index as u64);
        let may_fail = index >= SOUND_ANSWERS * servers && number % FAILING_PART == 0;
        let is_bad = may_fail && random.random_bool(bad_share);
        let sound = AttemptEvidence::Answered {
            is_failure: false,
            latency: Duration::from_millis(30),
        };
        let attempts = [
            (keys[number], if is_bad { bad } else { sound }),
            (old, sound),
        ];
        for (server, evidence) in attempts {
            let record = desk.record_sent(now, &registry, server, 1, true);
            let mut record = record.expect("an order runs");
            desk.record_result(&mut record, evidence);
            desk.record_closed(&record);
        }
        if index % 100 == 0 {
            desk.update(now, &registry, &[SERVICE]);
        }
    }
    desk.stage(SERVICE)
}

#[test]
fn a_version_that_fails_at_some_servers_is_rolled_back_at_any_number_of_servers() {
    let failure = AttemptEvidence::Answered {
        is_failure: true,
        latency: Duration::from_millis(30),
    };
    for servers in [60, 200, 1_000] {
        let stages = (0..SEEDS).map(|seed| run(servers, seed, failure, 1.0));
        let found = stages.filter(|stage| *stage == Some(RolloutStage::RolledBack));
        assert_eq!(found.count() as u64, SEEDS, "{servers} servers");
    }
}

#[test]
fn servers_that_end_under_their_requests_convict_no_version_at_any_number_of_servers() {
    for servers in [60, 200, 1_000] {
        for seed in 0..4 {
            let stage = run(servers, seed, AttemptEvidence::Broken, 1.0);
            assert_eq!(stage, Some(RolloutStage::Whole), "{servers} servers");
        }
    }
}
