//! Where the cost policy sends what, and what it does with a mechanism switched off.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_placement::cost::CostOptions;
use teaselglade_placement::policy::{HardwareConstraints, LatencyForecast, ServerPlacer};

use crate::fixture::{NEW_CARD, OLD_CARD, at, cost_placement, dispatched, ended, facts, query};

const RECALL: [u64; 12] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

fn chosen(placement: &mut ServerPlacer, prompt: u32, answer: u32, weight: f64) -> ServerKey {
    let query = query(prompt, answer).cost_weight(weight);
    placement.place(at(1), &query).expect("a server").server
}

fn reclaimable_and_dear(options: CostOptions) -> (ServerPlacer, ServerKey, ServerKey) {
    let mut placement = cost_placement(options);
    let cheap = placement.add(facts(NEW_CARD, 40.0, true));
    let dear = placement.add(facts(NEW_CARD, 110.0, false));
    (placement, cheap, dear)
}

#[test]
fn long_scripts_keep_off_reclaimable_hosts() {
    let (mut placement, cheap, dear) = reclaimable_and_dear(CostOptions::default());
    assert_eq!(chosen(&mut placement, 300, 2_000, 0.2), dear);
    assert_eq!(chosen(&mut placement, 300, 50, 0.2), cheap);
    assert_eq!(chosen(&mut placement, 300, 50, 0.9), cheap);
}

#[test]
fn without_reclaim_forecasts_long_scripts_take_the_cheap_host() {
    let options = CostOptions {
        use_reclaims: false,
        ..CostOptions::default()
    };
    let (mut placement, cheap, _) = reclaimable_and_dear(options);
    assert_eq!(chosen(&mut placement, 300, 2_000, 0.2), cheap);
}

#[test]
fn weight_of_the_row_decides_between_cost_and_loss() {
    let (mut placement, cheap, dear) = reclaimable_and_dear(CostOptions::default());
    assert_eq!(chosen(&mut placement, 300, 1_000, 0.0), dear);
    assert_eq!(chosen(&mut placement, 300, 1_000, 1.0), cheap);
}

fn returning(options: CostOptions) -> (ServerKey, ServerKey) {
    let mut placement = cost_placement(options);
    let servers = [0; 3].map(|_| placement.add(facts(NEW_CARD, 40.0, true)));
    let prefix: Arc<[u64]> = Arc::from(RECALL);
    let home = servers[2];
    placement.observe(at(1), &dispatched(1, home, &prefix));
    placement.observe(at(2), &ended(1));
    let query = query(400, 100).prompt(400, prefix);
    let found = placement.place(at(3), &query).expect("a server");
    (home, found.server)
}

#[test]
fn returning_conversation_finds_its_prefix() {
    let (home, found) = returning(CostOptions::default());
    assert_eq!(found, home);
}

#[test]
fn without_prefixes_the_conversation_goes_elsewhere() {
    let options = CostOptions {
        use_prefixes: false,
        ..CostOptions::default()
    };
    let (home, found) = returning(options);
    assert_ne!(found, home);
}

#[test]
fn packs_work_on_a_server_that_is_held_already() {
    let mut placement = cost_placement(CostOptions::default());
    let servers = [0; 3].map(|_| placement.add(facts(NEW_CARD, 40.0, true)));
    placement.observe(at(1), &dispatched(1, servers[1], &Arc::default()));
    assert_eq!(chosen(&mut placement, 100, 100, 0.8), servers[1]);
}

#[test]
fn excluded_and_forbidden_servers_are_not_used() {
    let mut placement = cost_placement(CostOptions::default());
    let cheap = placement.add(facts(OLD_CARD, 10.0, true));
    let dear = placement.add(facts(NEW_CARD, 90.0, true));
    let barred = query(10, 10).excluding([cheap]);
    assert_eq!(
        placement.place(at(1), &barred).expect("a server").server,
        dear
    );
    let permit = HardwareConstraints {
        max_cents_per_hour: Some(50.0),
        ..HardwareConstraints::default()
    };
    let capped = query(10, 10)
        .hardware_constraints(permit)
        .excluding([cheap]);
    placement
        .place(at(1), &capped)
        .expect_err("no permitted server");
}

#[test]
fn outlook_tells_load_from_a_prompt_that_is_too_long_for_any_server() {
    let mut placement = cost_placement(CostOptions::default());
    let server = placement.add(facts(NEW_CARD, 40.0, true));
    let long = placement
        .place(at(1), &query(50_000, 10))
        .expect("a server");
    assert_eq!(long.latency_forecast, LatencyForecast::LateWhenIdle);
    for id in 0..60 {
        placement.observe(at(1), &dispatched(id, server, &Arc::from(RECALL)));
    }
    let loaded = placement.place(at(1), &query(100, 10)).expect("a server");
    assert_eq!(loaded.latency_forecast, LatencyForecast::LateUnderLoad);
    let patient = query(100, 10).targets(Duration::from_mins(5), None);
    let patient = placement.place(at(1), &patient).expect("a server");
    assert_eq!(patient.latency_forecast, LatencyForecast::OnTarget);
}
