//! Placement of plain calls.

use teaselglade_core::id::ServerKey;
use teaselglade_routing::capacity::{PlacementTerms, RequestRank};
use teaselglade_routing::plain::{PlainPlacer, PlainQuery, ServerLoad};
use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use teaselglade_routing::rollout::VersionScope;
use teaselglade_routing::zone::ZoneTerms;

use super::fixture::{at, registration};

const QUERY: PlainQuery<'static> = PlainQuery {
    selected_by: None,
    service: "draft-fleet",
    tried: &[],
    terms: PlacementTerms {
        zone: "galway",
        rank: RequestRank::new(0),
        versions: VersionScope::Any,
        queue_limit: None,
        zones: ZoneTerms::NONE,
    },
};

fn three_zone_registry() -> (ServerRegistry, Vec<ServerKey>) {
    let mut registry = ServerRegistry::default();
    let zones = ["galway", "sligo", "ennis"].into_iter().enumerate();
    let keys = zones.map(|(index, zone)| {
        let zone_registration = ServerRegistration {
            zone: zone.to_owned(),
            slots: Some(6),
            ..registration(&format!("i-{index}"), 1, 1)
        };
        registry
            .apply_registration(at(0), zone_registration)
            .expect("a new server")
    });
    let keys = keys.collect();
    (registry, keys)
}

#[test]
fn the_own_zone_is_preferred_until_its_load_exceeds_that_of_the_others() {
    let (registry, keys) = three_zone_registry();
    let mut placer = PlainPlacer::new(1);
    let first_server = placer.place(at(0), &registry, &QUERY).expect("a server");
    assert_eq!(first_server, keys[0]);
    let chosen: Vec<ServerKey> = (0..8)
        .map(|_| placer.place(at(0), &registry, &QUERY).expect("a server"))
        .collect();
    assert!(keys.iter().all(|key| chosen.contains(key)), "{chosen:?}");
}

#[test]
fn a_server_that_fails_is_avoided_while_others_respond() {
    let (registry, keys) = three_zone_registry();
    let mut placer = PlainPlacer::new(1);
    placer.record_failure(at(0), keys[0]);
    let next_server = placer.place(at(1), &registry, &QUERY).expect("a server");
    assert_ne!(next_server, keys[0]);
    placer.record_end(next_server);
    for _ in 0..40 {
        placer.record_response(at(1), keys[0], true, None);
    }
    assert_eq!(placer.place(at(2), &registry, &QUERY), Ok(keys[0]));
}

#[test]
fn callers_are_refused_at_once_if_all_servers_are_full() {
    let (registry, keys) = three_zone_registry();
    let mut placer = PlainPlacer::new(1);
    let load = ServerLoad {
        pace: None,
        running: 6,
        waiting: 60,
        slots: 6,
    };
    for key in keys {
        placer.record_response(at(0), key, true, Some(load));
    }
    let refusal = placer
        .place(at(1), &registry, &QUERY)
        .expect_err("all are full");
    assert!(refusal.retry_after.is_some());
    assert!(
        placer.place(at(2_000), &registry, &QUERY).is_ok(),
        "the reported loads are stale"
    );
}

#[test]
fn an_explanation_offers_only_servers_of_the_versions_in_scope() {
    let (registry, keys) = three_zone_registry();
    let mut placer = PlainPlacer::new(1);
    let mut query = QUERY;
    let among = [keys[2]];
    query.terms.versions = VersionScope::Among(&among);
    let explanation = placer.explain(at(0), &registry, &query);
    let offered: Vec<ServerKey> = explanation
        .options
        .iter()
        .map(|option| option.server)
        .collect();
    assert_eq!(offered, among);
    assert_eq!(explanation.decision, Ok(keys[2]));
}
