//! Membership: ranks, liveness, gossip targets and the choice of aggregators.

use std::collections::HashMap;

use teaselglade_routing::gossip::{
    CandidateHost, HostDigest, PeerAddress, PeerMembership, name_hash,
};

use super::fixture::at;

pub fn digest(name: &str, started_at_us: u64, sequence: u64) -> HostDigest {
    HostDigest {
        host: PeerAddress {
            name: name.to_owned(),
            address: "127.0.0.1:7600".parse().expect("an address"),
        },
        started_at_us,
        sequence,
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
        decided_reports: Vec::new(),
        departures: Vec::new(),
        requested_aggregator: None,
        peers: Vec::new(),
        zone: String::new(),
        crash_evidence: Vec::new(),
    }
}

#[test]
fn duplicate_and_older_digests_of_an_incarnation_are_ignored() {
    let mut membership = PeerMembership::new("edge-5", 1);
    assert!(membership.record_digest(at(0), &digest("edge-2", 10, 3)));
    assert!(!membership.record_digest(at(1), &digest("edge-2", 10, 3)));
    assert!(!membership.record_digest(at(2), &digest("edge-2", 10, 2)));
    assert!(membership.record_digest(at(3), &digest("edge-2", 11, 1)));
    assert!(!membership.record_digest(at(4), &digest("edge-2", 10, 9)));
    assert!(
        !membership.record_digest(at(5), &digest("edge-5", 10, 9)),
        "the host's own digest"
    );
}

#[test]
fn only_present_hosts_count_towards_the_rank() {
    let mut membership = PeerMembership::new("edge-5", 1);
    membership.record_digest(at(0), &digest("edge-2", 10, 1));
    membership.record_digest(at(0), &digest("edge-7", 10, 1));
    let mut without_store = digest("edge-3", 10, 1);
    without_store.store_reachable = false;
    membership.record_digest(at(0), &without_store);
    // A host that does not reach the store ranks behind those that do.
    assert_eq!(
        (
            membership.rank(at(500)),
            membership.store_reader_rank(at(500))
        ),
        (1, 1)
    );
    membership.set_store_reachable(false);
    assert_eq!(
        (
            membership.rank(at(500)),
            membership.store_reader_rank(at(500))
        ),
        (3, 1)
    );
    membership.set_store_reachable(true);
    assert_eq!(
        (
            membership.rank(at(5_000)),
            membership.store_reader_rank(at(5_000))
        ),
        (0, 0)
    );
}

#[test]
fn a_digest_goes_to_a_bounded_number_of_hosts() {
    let mut membership = PeerMembership::new("edge-0", 1);
    for host in 0..400 {
        membership.record_digest(at(0), &digest(&format!("edge-{host}"), 10, 1));
    }
    assert!(membership.gossip_targets(at(1)).len() <= 12);
    // With no peer present it becomes an aggregator, and the TTL of its peers starts anew.
    assert!(membership.expire(at(60_000)).is_empty());
    assert_eq!(membership.expire(at(75_000)).len(), 399);
}

/// Every host but the aggregators themselves is served by exactly one aggregator.
#[test]
fn aggregators_divide_all_other_hosts_among_them() {
    let names: Vec<String> = (10..60).map(|host| format!("edge-{host}")).collect();
    let address = |index: usize| format!("127.0.1.{}:7600", index + 1);
    let mut served = Vec::new();
    for own in &names[..3] {
        let mut membership = PeerMembership::new(own, 1);
        for (index, name) in names.iter().enumerate() {
            let mut received = digest(name, 10, 1);
            received.host.address = address(index).parse().expect("an address");
            membership.record_digest(at(0), &received);
        }
        assert!(membership.is_aggregator(at(1)));
        served.extend(membership.served_peers(at(1)));
    }
    for index in 3..names.len() {
        let expected = address(index).parse().expect("an address");
        let count = served
            .iter()
            .filter(|address| **address == expected)
            .count();
        assert_eq!(count, 1, "{expected}");
    }
}

#[test]
fn digests_in_a_large_fleet_go_to_its_aggregators() {
    let mut membership = large_fleet("edge-99");
    let targets = membership.gossip_targets(at(1));
    for aggregator in 10..13 {
        let address = format!("127.0.1.{aggregator}:7600")
            .parse()
            .expect("an address");
        assert!(targets.contains(&address), "{targets:?}");
    }
    assert!(targets.len() <= 5, "{targets:?}");
}

/// Returns a digest of the host `edge-HOST`, which has its own address.
fn digest_of(host: u64, sequence: u64) -> HostDigest {
    let mut digest = digest(&format!("edge-{host}"), 10, sequence);
    digest.host.address = format!("127.0.1.{host}:7600").parse().expect("an address");
    digest
}

fn large_fleet(own: &str) -> PeerMembership {
    let mut membership = PeerMembership::new(own, 1);
    for host in 10..60 {
        membership.record_digest(at(0), &digest_of(host, 1));
    }
    membership
}

/// A full link may lose an aggregator's messages to some hosts while the aggregator looks present.
#[test]
fn a_host_that_receives_no_aggregate_requests_another_aggregator() {
    let mut membership = large_fleet("edge-99");
    let first = membership
        .choose_aggregator(at(100), Some(at(90)))
        .expect("an aggregator");
    assert_eq!(
        membership.choose_aggregator(at(600), Some(at(500))),
        Some(first)
    );
    let second = membership
        .choose_aggregator(at(1_050), Some(at(440)))
        .expect("an aggregator");
    assert_ne!(first, second);
    assert_eq!(
        membership.choose_aggregator(at(1_060), Some(at(440))),
        Some(second),
        "it gives the new aggregator time to respond"
    );
    assert_eq!(
        membership.choose_aggregator(at(1_070), Some(at(1_065))),
        Some(second)
    );
}

#[test]
fn an_aggregator_serves_only_the_hosts_that_request_it() {
    let mut membership = large_fleet("edge-10");
    let mut requesting = digest_of(50, 2);
    for (requested, is_served) in [("edge-10", true), ("edge-11", false), ("edge-10", true)] {
        requesting.sequence += 1;
        requesting.requested_aggregator = Some(name_hash(requested));
        membership.record_digest(at(10), &requesting);
        let served = membership.served_peers(at(20));
        assert_eq!(
            served.contains(&requesting.host.address),
            is_served,
            "{requested}"
        );
    }
}

#[test]
fn aggregators_request_no_aggregator_and_are_leader_candidates() {
    let mut first = large_fleet("edge-10");
    assert_eq!(first.choose_aggregator(at(10), None), None);
    assert!(first.is_aggregator(at(10)) && first.is_leader_candidate(at(10)));
    let last = large_fleet("edge-99");
    assert!(!last.is_aggregator(at(10)) && !last.is_leader_candidate(at(10)));
}

/// A partition cut off all three aggregators. The other hosts kept them present by gossip among
/// themselves, and no host became the leader for ten seconds.
#[test]
fn gossip_does_not_keep_a_lost_host_present() {
    let (mut one, mut other) = (large_fleet("edge-20"), large_fleet("edge-21"));
    assert!(!one.is_leader_candidate(at(10)));
    for now in (200..4_000).step_by(400) {
        for name in 20..60 {
            let digest = digest_of(name, now);
            one.record_digest(at(now), &digest);
            other.record_digest(at(now), &digest);
        }
        for (from, to) in [("edge-20", 0), ("edge-21", 1)] {
            let host = digest(from, 10, now).host;
            let own = CandidateHost {
                host,
                started_at_us: 10,
                last_seen_ms: 0,
                store_reachable: true,
                is_leader: false,
                zone: String::new(),
            };
            let (sender, receiver) = if to == 0 {
                (&one, &mut other)
            } else {
                (&other, &mut one)
            };
            for candidate in sender.candidates(at(now), own) {
                receiver.record_candidate(at(now), &candidate);
            }
        }
    }
    assert!(
        one.is_leader_candidate(at(3_900)),
        "rank {}",
        one.rank(at(3_900))
    );
}

/// A new aggregator last saw most peers long ago, and they may be behind a partition.
#[test]
fn a_new_aggregator_counts_silence_from_when_it_became_one() {
    let mut membership = large_fleet("edge-20");
    for name in 10..13 {
        membership.record_digest(at(18_000), &digest(&format!("edge-{name}"), 10, 2));
    }
    assert!(membership.expire(at(18_100)).is_empty());
    for name in 21..45 {
        membership.record_digest(at(20_000), &digest(&format!("edge-{name}"), 10, 2));
    }
    assert!(membership.is_aggregator(at(20_100)));
    assert!(membership.expire(at(20_100)).is_empty());
    assert!((membership.seen_share(at(20_100)) - 25.0 / 50.0).abs() < 1e-9);
    assert!(membership.expire(at(35_000)).is_empty());
    assert!(!membership.expire(at(35_200)).is_empty());
}

/// The store rejects the requests of the highest-ranked hosts only. The leader duties need a host
/// that reaches the store, and the leader must be an aggregator.
#[test]
fn hosts_that_reach_the_store_rank_first() {
    let mut membership = large_fleet("edge-20");
    for name in 10..20 {
        let mut without_store = digest(&format!("edge-{name}"), 10, 2);
        without_store.store_reachable = false;
        membership.record_digest(at(10), &without_store);
    }
    assert!(membership.is_leader_candidate(at(20)) && membership.is_aggregator(at(20)));
    let own = CandidateHost {
        host: digest("edge-20", 10, 1).host,
        started_at_us: 10,
        last_seen_ms: 0,
        store_reachable: true,
        is_leader: false,
        zone: String::new(),
    };
    let candidates = membership.candidates(at(20), own);
    let names: Vec<&str> = candidates
        .iter()
        .map(|candidate| candidate.host.name.as_str())
        .collect();
    assert_eq!(names[..3], ["edge-20", "edge-21", "edge-22"]);
    assert!(
        names.contains(&"edge-10"),
        "a host without the store is named as well"
    );
    membership.set_store_reachable(false);
    assert!(!membership.is_leader_candidate(at(20)));
    // If no host reaches the store, names alone decide the rank.
    for name in 21..60 {
        let mut without_store = digest(&format!("edge-{name}"), 10, 2);
        without_store.store_reachable = false;
        membership.record_digest(at(30), &without_store);
    }
    assert_eq!(membership.rank(at(40)), 10);
}

/// Hosts that return from a partition would rank first by name, but the leader stays the leader.
#[test]
fn the_leader_ranks_first_whatever_its_name() {
    let mut membership = large_fleet("edge-99");
    assert!(!membership.is_leader_candidate(at(10)));
    membership.set_leader(true);
    assert!(membership.is_leader_candidate(at(10)) && membership.is_aggregator(at(10)));
    let mut other = large_fleet("edge-12");
    assert!(other.is_aggregator(at(10)));
    let mut leader = digest("edge-50", 10, 2);
    leader.is_leader = true;
    other.record_digest(at(10), &leader);
    assert!(
        !other.is_aggregator(at(20)),
        "the leader and two other hosts are"
    );
}

/// Guards against a call of each of 195 hosts for each version of the table.
#[test]
fn few_hosts_of_a_large_fleet_follow_the_table_and_others_take_over() {
    let names: Vec<String> = (100..295).map(|host| format!("edge-{host}")).collect();
    let mut memberships: Vec<PeerMembership> = names
        .iter()
        .map(|name| PeerMembership::new(name, 1))
        .collect();
    let followers = |memberships: &mut Vec<PeerMembership>, first: usize, now: u64| {
        let mut followers = Vec::new();
        for (index, membership) in memberships.iter_mut().enumerate().skip(first) {
            for name in &names[first..] {
                let _is_new = membership.record_digest(at(now), &digest(name, 10, now));
            }
            if membership.is_table_follower(at(now)) {
                followers.push(index);
            }
        }
        followers
    };
    assert_eq!(followers(&mut memberships, 0, 1_000), [0, 1, 2, 3, 4]);
    // The first six hosts are lost; five others follow once those no longer count as present.
    assert_eq!(followers(&mut memberships, 6, 3_000), [6, 7, 8, 9, 10]);
}

const ZONES: [&str; 4] = ["ennis", "galway", "limerick", "sligo"];

/// Returns the names of a fleet's hosts, which begin with their data centres, and these.
fn hosts_by_zone(count: usize) -> Vec<(String, &'static str)> {
    let zones = ZONES.into_iter().cycle().take(count).enumerate();
    zones
        .map(|(number, zone)| (format!("edge-{zone}-{number}"), zone))
        .collect()
}

/// Returns the membership of each host; every host has seen the digests of all others.
fn fleet_by_zone(hosts: &[(String, &'static str)]) -> Vec<PeerMembership> {
    let membership = |(own, zone): &(String, &'static str)| {
        let mut membership = PeerMembership::new(own, 1).in_zone(*zone);
        for (name, zone) in hosts {
            let mut digest = digest(name, 10, 1);
            (*zone).clone_into(&mut digest.zone);
            membership.record_digest(at(0), &digest);
        }
        membership
    };
    hosts.iter().map(membership).collect()
}

// Names begin with the data centre, so by names alone one data centre had every role.
#[test]
fn the_loss_of_any_data_centre_leaves_hosts_of_each_role() {
    for count in [24, 86, 195, 400] {
        let hosts = hosts_by_zone(count);
        let fleet = fleet_by_zone(&hosts);
        for lost in ZONES {
            let left = || {
                let members = hosts.iter().zip(&fleet);
                members.filter(|((_, zone), _)| *zone != lost)
            };
            let now = at(100);
            let aggregators = left().filter(|(_, member)| member.is_aggregator(now));
            let readers = left().filter(|(_, member)| member.is_store_reader(now));
            let followers = left().filter(|(_, member)| member.is_table_follower(now));
            let counts = (aggregators.count(), readers.count(), followers.count());
            assert!(
                counts.0 >= 2 && counts.1 >= 1 && counts.2 >= 3,
                "{count} hosts without {lost}: {counts:?}"
            );
        }
    }
}

#[test]
fn a_host_that_knows_only_the_advertised_hosts_takes_no_role() {
    let hosts = hosts_by_zone(86);
    let fleet = fleet_by_zone(&hosts);
    let mut first: Vec<usize> = (0..hosts.len()).collect();
    first.sort_by_key(|host| fleet[*host].rank(at(100)));
    let ranks: Vec<usize> = first
        .iter()
        .map(|host| fleet[*host].rank(at(100)))
        .collect();
    assert_eq!(ranks, (0..hosts.len()).collect::<Vec<usize>>());
    let (advertised, others) = first.split_at(6);
    for other in others {
        let (own, zone) = &hosts[*other];
        let mut membership = PeerMembership::new(own, 1).in_zone(*zone);
        for known in advertised
            .iter()
            .chain(others.iter().skip(other % 7).step_by(7))
        {
            let (name, zone) = &hosts[*known];
            let mut digest = digest(name, 10, 1);
            (*zone).clone_into(&mut digest.zone);
            membership.record_digest(at(0), &digest);
        }
        assert!(membership.rank(at(100)) >= 6, "{own}");
        assert!(membership.store_reader_rank(at(100)) >= 6, "{own}");
    }
}
