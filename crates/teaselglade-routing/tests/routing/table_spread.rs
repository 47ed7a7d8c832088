//! Spread of a new table from the hosts that follow the store to all others.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::time::Timestamp;
use teaselglade_routing::gossip::{FetchPlanner, TransferLimiter};

use super::fixture::at;

/// Bandwidth of the narrowest links, 10 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 1_250_000.0;
/// Share of a link that callers, servers and digests leave for tables.
const FREE_SHARE: f64 = 0.8;
/// Size of a compressed table with more than 4,000 routes.
const TABLE_BYTES: usize = 150_000;
/// Time in which a version must be active everywhere, as the deployments specify.
const APPLY_MS: u64 = 3_000;
const DIGEST_MS: u64 = 200;
const AGGREGATE_MS: u64 = 400;
const FOLLOWERS: usize = 5;
const AGGREGATORS: usize = 3;
const FAN_OUT: usize = 2;
const POLL_MS: u64 = 20;
const ROUND_TRIP_MS: u64 = 5;
const STEP_MS: u64 = 5;

/// Fleet in which some hosts have version 2 of the table and the others have version 1.
struct TableFleet {
    planners: Vec<FetchPlanner>,
    limiters: Vec<TransferLimiter>,
    versions: Vec<u64>,
    /// Time at which the link of each host has sent everything.
    link_free_at: Vec<f64>,
    /// Time of each host's next action.
    next_action: Vec<u64>,
    /// Tables on their way, by arrival time.
    arrivals: BTreeMap<u64, Vec<usize>>,
    random: Pcg32,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + host as u32), 7_600))
}

fn host_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("hosts have IPv4 addresses"),
    }
}

impl TableFleet {
    fn new(hosts: usize, seed: u64) -> Self {
        Self {
            planners: (0..hosts as u64).map(FetchPlanner::new).collect(),
            limiters: (0..hosts)
                .map(|_| TransferLimiter::new(Some(LINK_BYTES_PER_SECOND)))
                .collect(),
            versions: (0..hosts)
                .map(|host| if host < FOLLOWERS { 2 } else { 1 })
                .collect(),
            link_free_at: vec![0.0; hosts],
            next_action: vec![0; hosts],
            arrivals: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    fn announce(&mut self, now: Timestamp, from: usize, to: usize) {
        let version = self.versions[from];
        self.planners[to].record_announcement(now, address(from), version);
    }

    /// Sends the digests and aggregates that are due.
    fn gossip(&mut self, now: u64) {
        let hosts = self.versions.len();
        for host in 0..hosts {
            if (now + host as u64 * STEP_MS).is_multiple_of(DIGEST_MS) {
                for peer in sample(&mut self.random, hosts, FAN_OUT) {
                    self.announce(at(now), host, peer);
                }
            }
            let is_due = (now + host as u64 * STEP_MS).is_multiple_of(AGGREGATE_MS);
            if host >= AGGREGATORS && is_due {
                self.announce(at(now), host % AGGREGATORS, host);
            }
        }
    }

    /// Lets a host ask for the table if it knows a peer that may have it.
    fn act(&mut self, now: u64, host: usize) {
        let Some(source) = self.planners[host].next_source(at(now), self.versions[host]) else {
            self.next_action[host] = now + POLL_MS;
            return;
        };
        let peer = host_of(source);
        match self.limiters[peer].try_start(at(now), TABLE_BYTES) {
            Ok(()) => {
                let bandwidth = LINK_BYTES_PER_SECOND * FREE_SHARE / 1_000.0;
                let sent_at = self.link_free_at[peer].max(now as f64);
                let sent_at = sent_at + TABLE_BYTES as f64 / bandwidth;
                self.link_free_at[peer] = sent_at;
                let arrives_at = sent_at as u64 + ROUND_TRIP_MS;
                self.arrivals.entry(arrives_at).or_default().push(host);
                self.next_action[host] = u64::MAX;
            }
            Err(delay) => {
                self.planners[host].record_busy(at(now), source, delay);
                self.next_action[host] = now + ROUND_TRIP_MS;
            }
        }
    }

    /// Returns the time at which the last host has version 2.
    fn run(mut self) -> u64 {
        for now in (0..60_000).step_by(STEP_MS as usize) {
            while let Some(entry) = self.arrivals.first_entry()
                && *entry.key() <= now
            {
                for host in entry.remove() {
                    self.versions[host] = 2;
                }
            }
            if self.versions.iter().all(|version| *version == 2) {
                return now;
            }
            self.gossip(now);
            for host in 0..self.versions.len() {
                if self.next_action[host] <= now {
                    self.act(now, host);
                }
            }
        }
        panic!("some host never has the table");
    }
}

#[test]
fn a_large_table_reaches_every_host_in_time() {
    for hosts in [7, 30, 86, 195, 400] {
        let mut random = Pcg32::seed_from_u64(hosts as u64);
        let latest = (0..20).map(|_| TableFleet::new(hosts, random.random()).run());
        let latest = latest.max().expect("a run");
        println!("{hosts} hosts: {latest} ms");
        assert!(latest <= APPLY_MS, "{hosts} hosts: {latest} ms");
    }
}

#[test]
fn a_host_asks_another_peer_when_one_is_busy_or_fails() {
    let mut planner = FetchPlanner::new(3);
    planner.record_announcement(at(0), address(1), 5);
    planner.record_announcement(at(0), address(2), 5);
    let first = planner.next_source(at(0), 4).expect("a source");
    planner.record_busy(at(0), first, std::time::Duration::from_millis(100));
    let second = planner.next_source(at(0), 4).expect("another source");
    assert_ne!(first, second);
    planner.record_failure(at(0), second);
    assert_eq!(planner.next_source(at(90), 4), None);
    assert!(planner.is_waiting(at(90), 4));
    assert_eq!(planner.next_source(at(210), 4), Some(first));
    assert!(!planner.is_waiting(at(90), 5));
}

#[test]
fn a_version_that_only_busy_peers_have_does_not_hide_an_earlier_newer_one() {
    let mut planner = FetchPlanner::new(3);
    planner.record_announcement(at(0), address(1), 6);
    planner.record_announcement(at(0), address(2), 5);
    assert_eq!(planner.next_source(at(0), 4), Some(address(1)));
    planner.record_busy(at(0), address(1), std::time::Duration::from_millis(100));
    assert_eq!(planner.next_source(at(0), 4), Some(address(2)));
    assert_eq!(planner.next_source(at(0), 5), None);
}
