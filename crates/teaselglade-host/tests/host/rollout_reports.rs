//! Size of what hosts tell each other of roll-outs.

use std::time::Duration;

use teaselglade_routing::registry::{
    RegistrationState, ServerRegistration, ServerRegistry, StorePosition,
};
use teaselglade_routing::rollout::{
    AttemptEvidence, RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage,
};

use super::fleet_model::at;

const SERVICE: &str = "ticket-desk";
const ROUTES: u64 = 8;
const REQUESTS_PER_SERVER: u64 = 300;
/// Payload of one datagram on usual links.
const DATAGRAM_BYTES: usize = 65_507;
/// Share by which a report may grow from 100 servers to 1,000.
const GROWTH: f64 = 1.1;

fn registration(number: usize, version: &str) -> ServerRegistration {
    ServerRegistration {
        id: format!("i-{version}-{number}"),
        started_at_ms: 1,
        heartbeat: 1,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        zone: "galway".to_owned(),
        slots: Some(6),
        state: RegistrationState::Ready,
        reclaimable: false,
        version: version.to_owned(),
        position: StorePosition::default(),
    }
}

/// Returns the bytes of a host's report in the stage "whole", at this number of new servers.
fn report_bytes(servers: usize) -> usize {
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(0), registration(0, "v1"));
    for number in 0..servers {
        registry.apply_registration(at(0), registration(number, "v2"));
    }
    let bounds = RolloutBounds::default();
    let mut desk = RolloutDesk::new("edge-1", Some(bounds));
    let order = RolloutOrder {
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        over_ms: 12_000,
        number: 7,
    };
    desk.record_order(at(0), order, 1, false);
    desk.update(at(0), &registry, &[SERVICE]);
    desk.record_verdict(at(0), SERVICE, 7, RolloutStage::Whole);
    desk.update(at(0), &registry, &[SERVICE]);
    let keys: Vec<_> = registry.of_service(SERVICE).map(|(key, _)| key).collect();
    for number in 0..REQUESTS_PER_SERVER * servers as u64 {
        let server = keys[number as usize % keys.len()];
        let record = desk.record_sent(at(0), &registry, server, number % ROUTES, true);
        let mut record = record.expect("an order runs");
        let answered = AttemptEvidence::Answered {
            is_failure: number % 50 == 0,
            latency: Duration::from_millis(4 + number % 2_000),
        };
        desk.record_result(&mut record, answered);
        desk.record_closed(&record);
    }
    let report = desk.report(at(100), 1, 1);
    assert_eq!(report.orders[0].stage, RolloutStage::Whole);
    rmp_serde::to_vec(&report).expect("a report").len()
}

#[test]
fn a_report_is_as_large_with_a_thousand_new_servers_as_with_a_hundred() {
    let (few, many) = (report_bytes(100), report_bytes(1_000));
    println!("{few} bytes at 100 servers, {many} at 1,000");
    assert!(many <= DATAGRAM_BYTES);
    assert!(many as f64 <= few as f64 * GROWTH, "{few} and {many} bytes");
}
