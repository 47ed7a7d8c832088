//! Choices of the cost policy, with all mechanisms and with one disabled.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_placement::cost::CostOptions;
use teaselglade_placement::policy::{HardwareConstraints, LatencyForecast, ServerPlacer};

use crate::fixture::{
    NEW_GPU_CLASS, OLD_GPU_CLASS, at, attributes, cost_placer, dispatched, ended, query,
};

const PREFIX_HASHES: [u64; 12] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

fn chosen_server(placer: &mut ServerPlacer, prompt: u32, answer: u32, weight: f64) -> ServerKey {
    let query = query(prompt, answer).cost_weight(weight);
    placer.place(at(1), &query).expect("a server").server
}

fn reclaimable_and_expensive(options: CostOptions) -> (ServerPlacer, ServerKey, ServerKey) {
    let mut placer = cost_placer(options);
    let cheap = placer.add(attributes(NEW_GPU_CLASS, 40.0, true));
    let expensive = placer.add(attributes(NEW_GPU_CLASS, 110.0, false));
    (placer, cheap, expensive)
}

#[test]
fn long_answers_avoid_reclaimable_hosts() {
    let (mut placer, cheap, expensive) = reclaimable_and_expensive(CostOptions::default());
    assert_eq!(chosen_server(&mut placer, 300, 2_000, 0.2), expensive);
    assert_eq!(chosen_server(&mut placer, 300, 50, 0.2), cheap);
    assert_eq!(chosen_server(&mut placer, 300, 50, 0.9), cheap);
}

#[test]
fn without_reclaim_forecasts_long_answers_use_the_cheap_host() {
    let options = CostOptions {
        use_reclaims: false,
        ..CostOptions::default()
    };
    let (mut placer, cheap, _) = reclaimable_and_expensive(options);
    assert_eq!(chosen_server(&mut placer, 300, 2_000, 0.2), cheap);
}

#[test]
fn cost_weight_balances_cost_against_loss() {
    let (mut placer, cheap, expensive) = reclaimable_and_expensive(CostOptions::default());
    assert_eq!(chosen_server(&mut placer, 300, 1_000, 0.0), expensive);
    assert_eq!(chosen_server(&mut placer, 300, 1_000, 1.0), cheap);
}

fn place_returning_conversation(options: CostOptions) -> (ServerKey, ServerKey) {
    let mut placer = cost_placer(options);
    let servers = [0; 3].map(|_| placer.add(attributes(NEW_GPU_CLASS, 40.0, true)));
    let prefix: Arc<[u64]> = Arc::from(PREFIX_HASHES);
    let previous = servers[2];
    placer.observe(at(1), &dispatched(1, previous, &prefix));
    placer.observe(at(2), &ended(1));
    let query = query(400, 100).prompt(400, prefix);
    let found = placer.place(at(3), &query).expect("a server");
    (previous, found.server)
}

#[test]
fn a_returning_conversation_is_placed_on_its_cached_prefix() {
    let (previous, found) = place_returning_conversation(CostOptions::default());
    assert_eq!(found, previous);
}

#[test]
fn without_prefixes_a_returning_conversation_is_placed_elsewhere() {
    let options = CostOptions {
        use_prefixes: false,
        ..CostOptions::default()
    };
    let (previous, found) = place_returning_conversation(options);
    assert_ne!(found, previous);
}

#[test]
fn requests_are_packed_on_a_server_that_is_already_in_use() {
    let mut placer = cost_placer(CostOptions::default());
    let servers = [0; 3].map(|_| placer.add(attributes(NEW_GPU_CLASS, 40.0, true)));
    placer.observe(at(1), &dispatched(1, servers[1], &Arc::default()));
    assert_eq!(chosen_server(&mut placer, 100, 100, 0.8), servers[1]);
}

#[test]
fn excluded_and_disallowed_servers_are_not_used() {
    let mut placer = cost_placer(CostOptions::default());
    let cheap = placer.add(attributes(OLD_GPU_CLASS, 10.0, true));
    let expensive = placer.add(attributes(NEW_GPU_CLASS, 90.0, true));
    let excluding_cheap = query(10, 10).excluding([cheap]);
    assert_eq!(
        placer
            .place(at(1), &excluding_cheap)
            .expect("a server")
            .server,
        expensive
    );
    let constraints = HardwareConstraints {
        max_cents_per_hour: Some(50.0),
        ..HardwareConstraints::default()
    };
    let price_limited = query(10, 10)
        .hardware_constraints(constraints)
        .excluding([cheap]);
    placer
        .place(at(1), &price_limited)
        .expect_err("no allowed server");
}

#[test]
fn latency_forecast_distinguishes_load_from_a_too_long_prompt() {
    let mut placer = cost_placer(CostOptions::default());
    let server = placer.add(attributes(NEW_GPU_CLASS, 40.0, true));
    let too_long = placer.place(at(1), &query(50_000, 10)).expect("a server");
    assert_eq!(too_long.latency_forecast, LatencyForecast::LateWhenIdle);
    for id in 0..60 {
        placer.observe(at(1), &dispatched(id, server, &Arc::from(PREFIX_HASHES)));
    }
    let loaded = placer.place(at(1), &query(100, 10)).expect("a server");
    assert_eq!(loaded.latency_forecast, LatencyForecast::LateUnderLoad);
    let relaxed = query(100, 10).targets(Duration::from_mins(5), None);
    let relaxed = placer.place(at(1), &relaxed).expect("a server");
    assert_eq!(relaxed.latency_forecast, LatencyForecast::OnTarget);
}
