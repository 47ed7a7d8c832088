//! Lookup of routes, callers and services.

use teaselglade_core::verdict::RefusalReason;
use teaselglade_routing::table::{Caller, RouteTable, ServiceShare, TableSpec};

use super::fixture::{organisation, route};

fn table() -> RouteTable {
    RouteTable::new(TableSpec {
        version: 7,
        routes: vec![
            route("all", "/"),
            route("repairs", "/repairs/"),
            route("rings", "/repairs/rings/"),
        ],
        organisations: vec![organisation("halloran", "k-1", 10.0)],
        ..TableSpec::default()
    })
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_found() {
    let table = table();
    let name = |path| {
        table
            .route("shop.example", path)
            .map(|route| route.name.as_str())
    };
    assert_eq!(name("/repairs/rings/7"), Some("rings"));
    assert_eq!(name("/repairs/ring"), Some("repairs"));
    assert_eq!(name("/repairs"), Some("all"));
    assert_eq!(name("/"), Some("all"));
    assert!(table.route("other.example", "/repairs/").is_none());
}

#[test]
fn a_known_key_is_required_unless_the_route_is_public() {
    let table = table();
    let mut open = route("open", "/open/");
    let refused = Err(RefusalReason::UnknownOrganisation);
    assert_eq!(table.caller(&open, Some("k-2")), refused);
    assert_eq!(table.caller(&open, None), refused);
    let caller = table.caller(&open, Some("k-1")).expect("a known key");
    assert!(matches!(caller, Caller::Organisation(found) if found.name == "halloran"));
    open.public = true;
    assert_eq!(table.caller(&open, None), Ok(Caller::Anonymous));
}

#[test]
fn services_get_requests_in_proportion_to_their_weights() {
    let mut split = route("split", "/");
    split.services = [("old", 90.0), ("new", 10.0), ("none", 0.0)]
        .map(|(service, weight)| ServiceShare {
            service: service.to_owned(),
            weight,
        })
        .to_vec();
    let draws = (0..1_000).map(|draw| split.service(f64::from(draw) / 1_000.0));
    let services: Vec<&str> = draws.collect();
    let count = |name| services.iter().filter(|service| **service == name).count();
    assert_eq!((count("old"), count("new"), count("none")), (900, 100, 0));
    assert_eq!(split.service(1.0), "new");
}
