//! The hosts that a host knows.

use std::collections::HashMap;

use teaselglade_routing::exchange::{HostDigest, PeerAddress, PeerRoster};

use super::fixture::at;

fn digest(name: &str, start: u64, number: u64) -> HostDigest {
    HostDigest {
        host: PeerAddress {
            name: name.to_owned(),
            address: "127.0.0.1:7600".parse().expect("an address"),
        },
        start,
        number,
        table: 0,
        reads_store: true,
        news_age_ms: 0,
        news: Vec::new(),
        spend: HashMap::new(),
        loads: Vec::new(),
        placed: Vec::new(),
        demand: Vec::new(),
        usage: Vec::new(),
        departures: Vec::new(),
        peers: Vec::new(),
    }
}

#[test]
fn digests_are_taken_once_and_in_order_within_an_incarnation() {
    let mut roster = PeerRoster::new("edge-5", 1);
    assert!(roster.note_heard(at(0), &digest("edge-2", 10, 3)));
    assert!(!roster.note_heard(at(1), &digest("edge-2", 10, 3)));
    assert!(!roster.note_heard(at(2), &digest("edge-2", 10, 2)));
    assert!(roster.note_heard(at(3), &digest("edge-2", 11, 1)));
    assert!(!roster.note_heard(at(4), &digest("edge-2", 10, 9)));
    assert!(
        !roster.note_heard(at(5), &digest("edge-5", 10, 9)),
        "an own digest"
    );
}

#[test]
fn present_hosts_that_go_before_count_and_silent_ones_do_not() {
    let mut roster = PeerRoster::new("edge-5", 1);
    roster.note_heard(at(0), &digest("edge-2", 10, 1));
    roster.note_heard(at(0), &digest("edge-7", 10, 1));
    let mut blind = digest("edge-3", 10, 1);
    blind.reads_store = false;
    roster.note_heard(at(0), &blind);
    assert_eq!((roster.rank(at(500)), roster.reader_rank(at(500))), (2, 1));
    assert_eq!(
        (roster.rank(at(5_000)), roster.reader_rank(at(5_000))),
        (0, 0)
    );
}

#[test]
fn digests_go_to_a_bounded_number_of_hosts() {
    let mut roster = PeerRoster::new("edge-0", 1);
    for host in 0..400 {
        roster.note_heard(at(0), &digest(&format!("edge-{host}"), 10, 1));
    }
    assert!(roster.targets(at(1)).len() <= 12);
    assert_eq!(roster.expire(at(60_000)).len(), 399);
}
