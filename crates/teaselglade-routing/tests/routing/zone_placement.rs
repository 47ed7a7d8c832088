//! Placement of streams by zone: what a cached part in another zone is worth.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_routing::capacity::PlacementTerms;
use teaselglade_routing::engine::{CachedPart, EnginePlacer, EngineQuery, PromptShape};
use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use teaselglade_routing::table::EngineSpec;
use teaselglade_routing::zone::{ZoneDirector, ZonePrices, ZoneRequest, ZoneTerms};

use super::fixture::{at, registration};

const ZONES: [&str; 4] = ["galway", "sligo", "ennis", "limerick"];
const SPEC: EngineSpec = EngineSpec {
    slots: 48,
    memory_tokens: 444_000.0,
    event_tokens: 6,
};
const SHARED_TOKENS: u32 = 9_000;

/// Returns five engines in each zone.
fn registry() -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    for engine in 0..20 {
        let zone = ZONES[engine % ZONES.len()].to_owned();
        let engine = registration(&format!("i-{engine}"), 1, 1);
        registry.apply_registration(at(0), ServerRegistration { zone, ..engine });
    }
    registry
}

fn prompt(shared: u64, own: u64) -> PromptShape {
    PromptShape::new(
        SHARED_TOKENS + 900,
        80,
        [(shared, SHARED_TOKENS), (own, 900)],
    )
}

fn query<'a>(
    prompt: &'a PromptShape,
    zones: ZoneTerms<'a>,
    is_load_stale: bool,
) -> EngineQuery<'a> {
    EngineQuery {
        service: "draft-fleet",
        spec: &SPEC,
        prompt,
        target: Duration::from_millis(800),
        caller_timeout: Duration::from_secs(5),
        tried: &[],
        is_continued: false,
        is_load_stale,
        selected_by: None,
        terms: PlacementTerms {
            zone: "galway",
            zones,
            ..PlacementTerms::default()
        },
    }
}

fn zone_of(registry: &ServerRegistry, server: ServerKey) -> &str {
    &registry.server(server).registration.zone
}

fn crossing(millis: u64) -> ZoneTerms<'static> {
    ZoneTerms {
        crossing: Duration::from_millis(millis),
        leaves_to: None,
    }
}

#[test]
fn prompts_without_cached_parts_stay_at_home_while_it_has_room() {
    let registry = registry();
    for is_load_stale in [false, true] {
        let mut placer = EnginePlacer::new(1);
        let home = (0..40).filter(|index| {
            let prompt = prompt(*index, 1_000 + *index);
            let query = query(&prompt, crossing(3), is_load_stale);
            let taken = placer.place(at(0), &registry, &query);
            let taken = taken.expect("an engine");
            placer.record_first_event(at(50), "draft-fleet", taken.id);
            placer.record_end(at(60), "draft-fleet", taken.id);
            zone_of(&registry, taken.server) == "galway"
        });
        assert_eq!(home.count(), 40, "stale: {is_load_stale}");
    }
}

#[test]
fn a_zone_without_an_engine_on_time_keeps_no_prompt() {
    let registry = registry();
    for is_load_stale in [false, true] {
        let mut placer = EnginePlacer::new(1);
        let mut left = 0;
        for index in 0..60 {
            let prompt = prompt(index, 1_000 + index);
            let query = query(&prompt, crossing(30), is_load_stale);
            if let Ok(taken) = placer.place(at(0), &registry, &query) {
                let is_home = zone_of(&registry, taken.server) == "galway";
                left += u32::from(!is_home);
            }
        }
        assert!(left >= 15, "{left} left home, stale: {is_load_stale}");
    }
}

#[test]
fn a_drawn_prompt_goes_to_its_zone_unless_that_lost_its_engines() {
    let mut registry = registry();
    let terms = ZoneTerms {
        crossing: Duration::from_millis(30),
        leaves_to: Some("sligo"),
    };
    let prompt = prompt(1, 2);
    for is_load_stale in [false, true] {
        let query = query(&prompt, terms, is_load_stale);
        let mut placer = EnginePlacer::new(1);
        let taken = placer.place(at(0), &registry, &query).expect("an engine");
        assert_eq!(zone_of(&registry, taken.server), "sligo");
    }
    let sligo: Vec<ServerKey> = registry
        .of_service("draft-fleet")
        .filter(|(_, server)| server.registration.zone == "sligo")
        .map(|(key, _)| key)
        .collect();
    for server in sligo {
        registry.record_own_departure(at(1), server);
    }
    for is_load_stale in [false, true] {
        let query = query(&prompt, terms, is_load_stale);
        let mut placer = EnginePlacer::new(1);
        placer.place(at(1), &registry, &query).expect("an engine");
    }
}

#[test]
fn crossings_for_a_cached_part_end_once_they_cost_as_much_as_its_prefill() {
    let registry = registry();
    let prices = ZonePrices {
        trip: Duration::from_millis(3),
        byte_cost_ms_per_kb: 3.0,
    };
    for is_load_stale in [false, true] {
        let mut director = ZoneDirector::new("galway", prices);
        let mut placer = EnginePlacer::new(1);
        let shared = prompt(7, 1);
        let abroad = registry
            .of_service("draft-fleet")
            .find(|(_, server)| server.registration.zone == "sligo");
        let part = CachedPart {
            server: abroad.expect("an engine").1.hash,
            prefix_hash: shared.parts[0].prefix_hash,
        };
        placer.merge_cached_parts(at(0), &registry, &[part]);
        let crossed: Vec<bool> = (0..30)
            .map(|index| {
                let now = at(1_000 * index);
                let prompt = prompt(7, 100 + index);
                let request = ZoneRequest {
                    service: "draft-fleet",
                    work: 900.0,
                    bytes: 10_000.0,
                    target: Duration::from_millis(800),
                    shared_part: Some(part.prefix_hash),
                    saved_at_home: 0.0,
                };
                let choice = director.choose(now, &request);
                let query = query(&prompt, choice.terms(), is_load_stale);
                let taken = placer.place(now, &registry, &query).expect("an engine");
                placer.record_end(now, "draft-fleet", taken.id);
                let zone = zone_of(&registry, taken.server);
                director.record_placement(now, &request, zone);
                zone != "galway"
            })
            .collect();
        // Prefilling the shared part takes 200 ms of an engine and delays the prompt by as much.
        let crossings = crossed.iter().filter(|crossed| **crossed).count();
        assert!((1..=14).contains(&crossings), "{crossed:?}");
        assert!(!crossed[29], "the part is cached at home by now");
    }
}

#[test]
fn an_explanation_names_the_engine_that_a_placement_takes_and_changes_nothing() {
    let registry = registry();
    for is_load_stale in [false, true] {
        let mut explained = EnginePlacer::new(3);
        let mut undisturbed = EnginePlacer::new(3);
        for index in 0..400 {
            let now = at(index * 5);
            let prompt = prompt(index % 12, 1_000 + index);
            let query = query(&prompt, crossing(index % 30), is_load_stale);
            let first = explained.explain(now, &registry, &query);
            let second = explained.explain(now, &registry, &query);
            assert_eq!(first.options, second.options);
            let taken = explained.place(now, &registry, &query);
            assert_eq!(taken, undisturbed.place(now, &registry, &query));
            let server = taken.map(|taken| taken.server);
            assert_eq!(first.decision, server, "prompt {index}");
            if let Ok(server) = server {
                assert!(first.options.iter().any(|option| option.server == server));
            }
        }
    }
}
