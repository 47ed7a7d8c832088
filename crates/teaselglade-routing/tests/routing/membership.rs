//! The hosts that a host knows.

use std::collections::HashMap;

use teaselglade_routing::gossip::{
    CandidateHost, HostDigest, PeerAddress, PeerMembership, name_hash,
};

use super::fixture::at;

fn digest(name: &str, start: u64, number: u64) -> HostDigest {
    HostDigest {
        host: PeerAddress {
            name: name.to_owned(),
            address: "127.0.0.1:7600".parse().expect("an address"),
        },
        started_at_us: start,
        sequence: number,
        table_version: 0,
        store_reachable: true,
        is_leader: false,
        update_age_ms: 0,
        updates: Vec::new(),
        spend: HashMap::new(),
        loads: Vec::new(),
        cached_parts: Vec::new(),
        demand: Vec::new(),
        usage: Vec::new(),
        departures: Vec::new(),
        requested_aggregator: None,
        peers: Vec::new(),
    }
}

#[test]
fn digests_are_taken_once_and_in_order_within_an_incarnation() {
    let mut roster = PeerMembership::new("edge-5", 1);
    assert!(roster.record_digest(at(0), &digest("edge-2", 10, 3)));
    assert!(!roster.record_digest(at(1), &digest("edge-2", 10, 3)));
    assert!(!roster.record_digest(at(2), &digest("edge-2", 10, 2)));
    assert!(roster.record_digest(at(3), &digest("edge-2", 11, 1)));
    assert!(!roster.record_digest(at(4), &digest("edge-2", 10, 9)));
    assert!(
        !roster.record_digest(at(5), &digest("edge-5", 10, 9)),
        "an own digest"
    );
}

#[test]
fn present_hosts_that_go_before_count_and_silent_ones_do_not() {
    let mut roster = PeerMembership::new("edge-5", 1);
    roster.record_digest(at(0), &digest("edge-2", 10, 1));
    roster.record_digest(at(0), &digest("edge-7", 10, 1));
    let mut blind = digest("edge-3", 10, 1);
    blind.store_reachable = false;
    roster.record_digest(at(0), &blind);
    // A host that the store does not answer goes behind those that it answers.
    assert_eq!(
        (roster.rank(at(500)), roster.store_reader_rank(at(500))),
        (1, 1)
    );
    roster.set_store_reachable(false);
    assert_eq!(
        (roster.rank(at(500)), roster.store_reader_rank(at(500))),
        (3, 1)
    );
    roster.set_store_reachable(true);
    assert_eq!(
        (roster.rank(at(5_000)), roster.store_reader_rank(at(5_000))),
        (0, 0)
    );
}

#[test]
fn digests_go_to_a_bounded_number_of_hosts() {
    let mut roster = PeerMembership::new("edge-0", 1);
    for host in 0..400 {
        roster.record_digest(at(0), &digest(&format!("edge-{host}"), 10, 1));
    }
    assert!(roster.gossip_targets(at(1)).len() <= 12);
    // It collects from then on, as nobody else is there, and gives them time to be heard.
    assert!(roster.expire(at(60_000)).is_empty());
    assert_eq!(roster.expire(at(75_000)).len(), 399);
}

/// Every host of a large fleet is served by exactly one collector, whoever leaves itself out.
#[test]
fn collectors_share_all_hosts_among_them() {
    let names: Vec<String> = (10..60).map(|host| format!("edge-{host}")).collect();
    let address = |index: usize| format!("127.0.1.{}:7600", index + 1);
    let mut served = Vec::new();
    for own in &names[..3] {
        let mut roster = PeerMembership::new(own, 1);
        for (index, name) in names.iter().enumerate() {
            let mut heard = digest(name, 10, 1);
            heard.host.address = address(index).parse().expect("an address");
            roster.record_digest(at(0), &heard);
        }
        assert!(roster.is_aggregator(at(1)));
        served.extend(roster.served_peers(at(1)));
    }
    for index in 3..names.len() {
        let own = address(index).parse().expect("an address");
        let count = served.iter().filter(|address| **address == own).count();
        assert_eq!(count, 1, "{own}");
    }
}

#[test]
fn digests_of_a_large_fleet_go_to_its_collectors() {
    let mut roster = large("edge-99");
    let targets = roster.gossip_targets(at(1));
    for collector in 10..13 {
        let address = format!("127.0.1.{collector}:7600")
            .parse()
            .expect("an address");
        assert!(targets.contains(&address), "{targets:?}");
    }
    assert!(targets.len() <= 5, "{targets:?}");
}

/// Returns a digest of the host `edge-HOST`, which has an address of its own.
fn digest_of(host: u64, number: u64) -> HostDigest {
    let mut heard = digest(&format!("edge-{host}"), 10, number);
    heard.host.address = format!("127.0.1.{host}:7600").parse().expect("an address");
    heard
}

fn large(own: &str) -> PeerMembership {
    let mut roster = PeerMembership::new(own, 1);
    for host in 10..60 {
        roster.record_digest(at(0), &digest_of(host, 1));
    }
    roster
}

/// Replays a collector whose messages to some hosts are lost on a full link, though it is present.
#[test]
fn a_host_that_its_collector_does_not_reach_asks_another_one() {
    let mut roster = large("edge-99");
    let first = roster
        .choose_aggregator(at(100), Some(at(90)))
        .expect("a collector");
    assert_eq!(
        roster.choose_aggregator(at(600), Some(at(500))),
        Some(first)
    );
    let second = roster
        .choose_aggregator(at(1_050), Some(at(440)))
        .expect("a collector");
    assert_ne!(first, second);
    assert_eq!(
        roster.choose_aggregator(at(1_060), Some(at(440))),
        Some(second),
        "it waits for that one"
    );
    assert_eq!(
        roster.choose_aggregator(at(1_070), Some(at(1_065))),
        Some(second)
    );
}

#[test]
fn a_collector_serves_those_that_ask_it_and_no_others() {
    let mut roster = large("edge-10");
    let mut asking = digest_of(50, 2);
    for (asked, is_served) in [("edge-10", true), ("edge-11", false), ("edge-10", true)] {
        asking.sequence += 1;
        asking.requested_aggregator = Some(name_hash(asked));
        roster.record_digest(at(10), &asking);
        let served = roster.served_peers(at(20));
        assert_eq!(served.contains(&asking.host.address), is_served, "{asked}");
    }
}

#[test]
fn collectors_ask_nobody_and_may_take_the_duties() {
    let mut first = large("edge-10");
    assert_eq!(first.choose_aggregator(at(10), None), None);
    assert!(first.is_aggregator(at(10)) && first.is_leader_candidate(at(10)));
    let last = large("edge-99");
    assert!(!last.is_aggregator(at(10)) && !last.is_leader_candidate(at(10)));
}

/// Replays a cut behind which all three collectors were: the hosts on this side kept one another
/// sure that they were there, and nobody took the duties for ten seconds.
#[test]
fn hosts_do_not_keep_a_lost_one_present_by_telling_each_other() {
    let (mut one, mut other) = (large("edge-20"), large("edge-21"));
    assert!(!one.is_leader_candidate(at(10)));
    for now in (200..4_000).step_by(400) {
        for name in 20..60 {
            let heard = digest_of(name, now);
            one.record_digest(at(now), &heard);
            other.record_digest(at(now), &heard);
        }
        for (from, to) in [("edge-20", 0), ("edge-21", 1)] {
            let host = digest(from, 10, now).host;
            let own = CandidateHost {
                host,
                started_at_us: 10,
                last_seen_ms: 0,
                store_reachable: true,
                is_leader: false,
            };
            let (teller, told) = if to == 0 {
                (&one, &mut other)
            } else {
                (&other, &mut one)
            };
            for leader in teller.candidates(at(now), own) {
                told.record_candidate(at(now), &leader);
            }
        }
    }
    assert!(
        one.is_leader_candidate(at(3_900)),
        "rank {}",
        one.rank(at(3_900))
    );
}

/// A host that begins to collect has heard most others long ago; they may be behind a cut.
#[test]
fn a_new_collector_keeps_the_part_of_hosts_that_it_had_no_word_of() {
    let mut roster = large("edge-20");
    for name in 10..13 {
        roster.record_digest(at(18_000), &digest(&format!("edge-{name}"), 10, 2));
    }
    assert!(roster.expire(at(18_100)).is_empty());
    for name in 21..45 {
        roster.record_digest(at(20_000), &digest(&format!("edge-{name}"), 10, 2));
    }
    assert!(roster.is_aggregator(at(20_100)));
    assert!(roster.expire(at(20_100)).is_empty());
    assert!((roster.seen_share(at(20_100)) - 25.0 / 50.0).abs() < 1e-9);
    assert!(roster.expire(at(35_000)).is_empty());
    assert!(!roster.expire(at(35_200)).is_empty());
}

/// Replays a store that turns the three leading hosts away and answers all others: the duties wait
/// for hosts that can do them, and whoever does them has to collect.
#[test]
fn hosts_that_the_store_answers_lead() {
    let mut roster = large("edge-20");
    for name in 10..20 {
        let mut blind = digest(&format!("edge-{name}"), 10, 2);
        blind.store_reachable = false;
        roster.record_digest(at(10), &blind);
    }
    assert!(roster.is_leader_candidate(at(20)) && roster.is_aggregator(at(20)));
    let own = CandidateHost {
        host: digest("edge-20", 10, 1).host,
        started_at_us: 10,
        last_seen_ms: 0,
        store_reachable: true,
        is_leader: false,
    };
    let told = roster.candidates(at(20), own);
    let names: Vec<&str> = told
        .iter()
        .map(|leader| leader.host.name.as_str())
        .collect();
    assert_eq!(names[..3], ["edge-20", "edge-21", "edge-22"]);
    assert!(names.contains(&"edge-10"), "its loss is told as well");
    roster.set_store_reachable(false);
    assert!(!roster.is_leader_candidate(at(20)));
    // Where the store answers nobody, the order of the names counts again.
    for name in 21..60 {
        let mut blind = digest(&format!("edge-{name}"), 10, 2);
        blind.store_reachable = false;
        roster.record_digest(at(30), &blind);
    }
    assert_eq!(roster.rank(at(40)), 10);
}

/// Hosts that return from a cut go first by name; the duties stay where they are.
#[test]
fn the_holder_of_the_duties_leads_whatever_its_name() {
    let mut roster = large("edge-99");
    assert!(!roster.is_leader_candidate(at(10)));
    roster.set_leader(true);
    assert!(roster.is_leader_candidate(at(10)) && roster.is_aggregator(at(10)));
    let mut other = large("edge-12");
    assert!(other.is_aggregator(at(10)));
    let mut holder = digest("edge-50", 10, 2);
    holder.is_leader = true;
    other.record_digest(at(10), &holder);
    assert!(!other.is_aggregator(at(20)), "the holder and two others do");
}
