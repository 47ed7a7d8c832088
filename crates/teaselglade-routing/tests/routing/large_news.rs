//! Loads of more engines than fit one aggregate are told by change and in turn.

use std::collections::HashMap;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::engine::{EngineLoad, EnginePlacer, ToldLoads};
use teaselglade_routing::gossip::{NewsTurn, ServerNews};
use teaselglade_routing::registry::{ServerDeparture, ServerRegistry, StorePosition};

fn load(server: u64, requests: u16) -> EngineLoad {
    EngineLoad {
        server,
        waiting_tokens: u32::from(requests) * 700,
        requests,
        memory_tokens: u32::from(requests) * 4_000,
    }
}

/// Returns what an aggregator tells after one peer reported these loads.
fn tell(aggregator: &mut EnginePlacer, now: Timestamp, loads: &[EngineLoad]) -> ToldLoads {
    let registry = ServerRegistry::default();
    aggregator.merge_peer_state(now, &registry, "edge-1", loads, &[]);
    aggregator.tell_loads(&registry)
}

#[test]
fn an_aggregate_tells_all_loads_as_long_as_they_fit() {
    let mut aggregator = EnginePlacer::new(1);
    let loads: Vec<EngineLoad> = (0..400).map(|server| load(server, 3)).collect();
    let told = tell(&mut aggregator, Timestamp::from_millis(1), &loads);
    assert!(matches!(told, ToldLoads::All(told) if told.len() == 400));
}

#[test]
fn every_engine_is_told_within_six_aggregates_and_a_jump_in_the_next() {
    for count in [402_u64, 1_002, 2_000] {
        let mut aggregator = EnginePlacer::new(1);
        let mut loads: Vec<EngineLoad> = (0..count)
            .map(|server| load(server * 7_919, 1 + (server % 50) as u16))
            .collect();
        let mut known: HashMap<u64, EngineLoad> = HashMap::new();
        let mut round = |now: u64, loads: &[EngineLoad]| {
            let told = tell(&mut aggregator, Timestamp::from_millis(now), loads);
            let ToldLoads::Some(told) = told else {
                panic!("all loads of {count} engines");
            };
            assert!(told.len() <= 400, "{} loads", told.len());
            told
        };
        for number in 0..6 {
            let told = round(400 * (number + 1), &loads);
            known.extend(told.into_iter().map(|load| (load.server, load)));
        }
        assert_eq!(known.len() as u64, count);
        loads[17] = load(loads[17].server, 500);
        let idle = loads.remove(30);
        let told = round(2_800, &loads);
        assert!(told.contains(&loads[17]));
        assert!(told.contains(&load(idle.server, 0)), "{count} engines");
    }
}

#[test]
fn a_round_of_news_is_bounded_and_every_departure_has_its_turn() {
    let departure = |number: u64| ServerDeparture {
        id: format!("i-{number:010x}"),
        started_at_ms: 1_790_000_000_000,
        heartbeat: 40 + number,
        is_removed: false,
        registered_at: StorePosition::of_record(1, 9_000 + number),
        removed_at: StorePosition::default(),
    };
    for count in [1_u64, 30, 300, 1_000] {
        let departures: Vec<ServerDeparture> = (0..count).map(departure).collect();
        let mut known = std::collections::HashSet::new();
        for turn in 0..25 {
            let turn = NewsTurn::new(turn, turn);
            let round = ServerNews::split("edge-1", turn, None, departures.clone(), Vec::new());
            assert!(round.len() <= 12, "{} parts", round.len());
            known.extend(
                round
                    .into_iter()
                    .flat_map(|part| part.departures)
                    .map(|departure| departure.id),
            );
        }
        assert_eq!(known.len() as u64, count);
    }
}

#[test]
fn a_round_that_holds_not_all_changes_claims_no_age() {
    let departure = ServerDeparture {
        id: "i-1".to_owned(),
        started_at_ms: 1,
        heartbeat: 1,
        is_removed: false,
        registered_at: StorePosition::default(),
        removed_at: StorePosition::default(),
    };
    let age = Some(std::time::Duration::from_millis(90));
    for (count, claims) in [(10, true), (2_000, false)] {
        let departures = vec![departure.clone(); count];
        let round = ServerNews::split("edge-1", NewsTurn::new(1, 1), age, departures, Vec::new());
        assert!(
            round
                .iter()
                .all(|part| part.update_age().is_some() == claims)
        );
    }
}
