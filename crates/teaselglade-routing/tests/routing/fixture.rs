//! Fixtures that several tests share.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::registry::{RegistrationState, ServerRegistration, StorePosition};
use teaselglade_routing::table::{
    OrganisationSpec, QuotaSpec, QuotaUnit, ResponseKind, RetryPolicy, RouteSpec, ScalingSpec,
    ServiceShare,
};

/// Returns a time `millis` after one hour, so that earlier times can be represented.
pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + millis)
}

pub fn registration(id: &str, started_at_ms: u64, heartbeat: u64) -> ServerRegistration {
    ServerRegistration {
        id: id.to_owned(),
        started_at_ms,
        heartbeat,
        service: "draft-fleet".to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        zone: "galway".to_owned(),
        slots: Some(64),
        state: RegistrationState::Ready,
        reclaimable: false,
        version: String::new(),
        position: StorePosition::default(),
    }
}

pub fn draining(registration: ServerRegistration) -> ServerRegistration {
    ServerRegistration {
        state: RegistrationState::Draining,
        ..registration
    }
}

pub fn route(name: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: prefix.to_owned(),
        response_kind: ResponseKind::Plain,
        retry_policy: RetryPolicy::Restart,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        gap_target: None,
        priority: 0,
        max_attempts: 2,
        public: false,
        services: vec![ServiceShare {
            service: "desk".to_owned(),
            weight: 1.0,
        }],
    }
}

pub fn organisation(name: &str, key: &str, rate: f64) -> OrganisationSpec {
    OrganisationSpec {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        priority: None,
        quota: Some(QuotaSpec {
            unit: QuotaUnit::Tokens,
            rate,
            burst: rate,
            default_units: 200.0,
        }),
    }
}

/// Returns the server bounds and zone prices of the deployment Corrib.
pub fn scaling() -> ScalingSpec {
    let prices = [
        ("ennis", 0.9),
        ("galway", 1.0),
        ("limerick", 0.8),
        ("sligo", 1.25),
    ];
    ScalingSpec {
        min_servers: 1,
        max_servers: 10,
        boot: Duration::from_secs(4),
        reclaimable_price: Some(0.15),
        zone_prices: prices
            .map(|(zone, price)| (zone.to_owned(), price))
            .to_vec(),
    }
}
