//! Departures of servers reach every host in time, whatever part of the fleet fails around them.
//!
//! Hosts are real decision states on virtual time; messages and reads are modelled here.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_routing::registry::{RegistrationState, ServerRegistration, StorePosition};

use super::fleet_model::{ModelDigest, ModelHost, STEP_MS, ZONES, at, introduce};

const READ_INTERVAL_MS: u64 = 300;
const READ_MS: u64 = 50;
const READ_TIMEOUT_MS: u64 = 700;
const IDLE_RETRY_MS: u64 = 1_000;
/// Time at which the fault begins, and how long it lasts.
const FAULT_AT_MS: u64 = 3_000;
const FAULT_MS: u64 = 6_000;
/// Hosts that are the first in the order of roles.
const ROLE_HOLDERS: usize = 5;
const SERVER: &str = "i-1";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FleetFault {
    None,
    /// A data centre and the other ones do not reach each other; all reach the store.
    ZoneCut,
    /// Nothing arrives from a data centre at the other ones.
    ZoneCutOneWay,
    ZoneLost,
    ZoneFrozen,
    RolesLost,
    /// The first hosts reach their peers, not the store.
    RolesWithoutStore,
    /// The first hosts reach the store, not their peers.
    RolesWithoutPeers,
    /// Nothing arrives at the first host, which goes on sending what it knew.
    DeafAggregator,
}

const FAULTS: [FleetFault; 9] = [
    FleetFault::None,
    FleetFault::ZoneCut,
    FleetFault::ZoneCutOneWay,
    FleetFault::ZoneLost,
    FleetFault::ZoneFrozen,
    FleetFault::RolesLost,
    FleetFault::RolesWithoutStore,
    FleetFault::RolesWithoutPeers,
    FleetFault::DeafAggregator,
];

enum Message {
    Digest(ModelDigest),
    /// Registration of the server as of the request, or a failed read.
    Read(Option<ServerRegistration>),
}

struct NewsFleet {
    hosts: Vec<ModelHost>,
    /// Time of each host's next read of the store.
    next_reads: Vec<u64>,
    fault: FleetFault,
    /// Hosts that the fault affects.
    affected: Vec<bool>,
    departs_at: u64,
    mail: BTreeMap<u64, Vec<(usize, usize, Message)>>,
}

fn registration(is_draining: bool) -> ServerRegistration {
    ServerRegistration {
        id: SERVER.to_owned(),
        started_at_ms: 1,
        heartbeat: if is_draining { 2 } else { 1 },
        service: "ticket-desk".to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        zone: "galway".to_owned(),
        slots: Some(6),
        state: if is_draining {
            RegistrationState::Draining
        } else {
            RegistrationState::Ready
        },
        reclaimable: false,
        version: String::new(),
        position: StorePosition::default(),
    }
}

impl NewsFleet {
    fn new(count: usize, fault: FleetFault, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let hosts = (0..count).map(|number| {
            let mut host = ModelHost::new(number, seed);
            let registry = &mut host.decisions.registry;
            registry.apply_registration(at(0), registration(false));
            host
        });
        let mut hosts: Vec<ModelHost> = hosts.collect();
        introduce(&mut hosts);
        let next_reads = (0..count).map(|_| random.random_range(0..READ_INTERVAL_MS));
        let mut fleet = Self {
            next_reads: next_reads.collect(),
            hosts,
            fault,
            affected: vec![false; count],
            departs_at: FAULT_AT_MS + random.random_range(0..3_000) - 500,
            mail: BTreeMap::new(),
        };
        fleet.choose_affected(ZONES[seed as usize % ZONES.len()]);
        fleet
    }

    fn choose_affected(&mut self, zone: &str) {
        for host in 0..self.hosts.len() {
            let membership = &self.hosts[host].decisions.membership;
            self.affected[host] = match self.fault {
                FleetFault::None => false,
                FleetFault::ZoneCut
                | FleetFault::ZoneCutOneWay
                | FleetFault::ZoneLost
                | FleetFault::ZoneFrozen => self.hosts[host].zone == zone,
                FleetFault::RolesLost
                | FleetFault::RolesWithoutStore
                | FleetFault::RolesWithoutPeers => {
                    membership.store_reader_rank(at(0)) < ROLE_HOLDERS.min(self.hosts.len() / 2)
                }
                FleetFault::DeafAggregator => membership.rank(at(0)) == 0,
            };
        }
    }

    fn is_faulty(now: u64) -> bool {
        (FAULT_AT_MS..FAULT_AT_MS + FAULT_MS).contains(&now)
    }

    /// Returns whether a host runs.
    fn is_running(&self, now: u64, host: usize) -> bool {
        let stops = matches!(
            self.fault,
            FleetFault::ZoneLost | FleetFault::ZoneFrozen | FleetFault::RolesLost
        );
        !(stops && self.affected[host] && Self::is_faulty(now))
    }

    fn reaches_store(&self, now: u64, host: usize) -> bool {
        let is_cut = matches!(
            self.fault,
            FleetFault::RolesWithoutStore | FleetFault::DeafAggregator
        ) && self.affected[host];
        !(is_cut && Self::is_faulty(now))
    }

    fn reaches_peer(&self, now: u64, from: usize, to: usize) -> bool {
        let (from_affected, to_affected) = (self.affected[from], self.affected[to]);
        let is_cut = match self.fault {
            FleetFault::ZoneCut => from_affected != to_affected,
            FleetFault::ZoneCutOneWay => from_affected && !to_affected,
            FleetFault::RolesWithoutPeers => from_affected || to_affected,
            FleetFault::DeafAggregator => to_affected,
            _ => false,
        };
        !(is_cut && Self::is_faulty(now))
    }

    fn post(&mut self, arrives_at: u64, from: usize, to: usize, message: Message) {
        let mail = self.mail.entry(arrives_at / STEP_MS * STEP_MS).or_default();
        mail.push((from, to, message));
    }

    /// Sends the digests and aggregates of a host that are due.
    fn send(&mut self, now: u64, host: usize) {
        for sent in self.hosts[host].due_digests(now) {
            let message = Message::Digest(sent.digest);
            self.post(sent.arrives_at, host, sent.to, message);
        }
    }

    /// Starts a read of the store if the host reads it and one is due.
    fn read(&mut self, now: u64, host: usize) {
        let decisions = &self.hosts[host].decisions;
        let is_reader = decisions.membership.is_store_reader(at(now))
            || decisions.lacks_aggregate(at(now))
            || decisions.has_stale_news(at(now));
        if !is_reader || now < self.next_reads[host] {
            return;
        }
        let (result, answered_at) = if self.reaches_store(now, host) {
            (Some(registration(now >= self.departs_at)), now + READ_MS)
        } else {
            (None, now + READ_TIMEOUT_MS)
        };
        // The next read is scheduled when the answer arrives.
        self.next_reads[host] = u64::MAX;
        self.post(answered_at, host, host, Message::Read(result));
    }

    fn receive(&mut self, now: u64, to: usize, message: Message) {
        let time = at(now);
        let receiver = &mut self.hosts[to];
        let decisions = &mut receiver.decisions;
        match message {
            Message::Digest(digest) => receiver.receive(now, digest),
            Message::Read(Some(registration)) => {
                decisions.registry.apply_registration(time, registration);
                decisions.record_store_response(time);
                self.next_reads[to] = now + READ_INTERVAL_MS;
            }
            Message::Read(None) => {
                decisions.record_store_failure(time);
                let is_reader = decisions.membership.is_store_reader(time);
                let delay = if is_reader {
                    READ_INTERVAL_MS
                } else {
                    IDLE_RETRY_MS
                };
                self.next_reads[to] = now + delay;
            }
        }
    }

    /// Returns whether a host must know of the departure.
    fn is_bound(&self, now: u64, host: usize) -> bool {
        self.is_running(now, host) && self.reaches_store(now, host)
    }

    /// Returns the time from the departure until the last bound host knows of it.
    fn run(mut self) -> u64 {
        for now in (0..FAULT_AT_MS + FAULT_MS).step_by(STEP_MS as usize) {
            for (from, to, message) in self.mail.remove(&now).unwrap_or_default() {
                let arrives = from == to || self.reaches_peer(now, from, to);
                if arrives && self.is_running(now, to) {
                    self.receive(now, to, message);
                }
            }
            for host in 0..self.hosts.len() {
                if self.is_running(now, host) {
                    self.send(now, host);
                    self.read(now, host);
                }
            }
            let knows = |host: usize| {
                let registry = &self.hosts[host].decisions.registry;
                registry
                    .find(SERVER)
                    .is_none_or(|key| !registry.takes_work(key))
            };
            let is_known = (0..self.hosts.len())
                .filter(|host| self.is_bound(now, *host))
                .all(knows);
            if now >= self.departs_at && is_known {
                return now - self.departs_at;
            }
        }
        panic!("{:?}: some host never knows of the departure", self.fault);
    }
}

/// Returns the time in which a fleet of this size has to know of a departure, as the sites specify.
const fn drain_bound_ms(hosts: usize) -> u64 {
    match hosts {
        0..20 => 2_000,
        20..100 => 3_000,
        _ => 4_000,
    }
}

// `NEWS_HOSTS=195 NEWS_SEEDS=4 cargo test --release -p teaselglade-host --test host news` plays more.
#[test]
fn every_host_in_touch_knows_of_a_departure_in_time() {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let fleets: Vec<(usize, u64)> = match number("NEWS_HOSTS") {
        Some(hosts) => vec![(hosts as usize, number("NEWS_SEEDS").unwrap_or(1))],
        None => vec![(7, 8), (24, 3), (44, 1)],
    };
    for (hosts, seeds) in fleets {
        for fault in FAULTS {
            let latest = (0..seeds).map(|seed| NewsFleet::new(hosts, fault, seed).run());
            let latest = latest.max().expect("a run");
            println!("{hosts} hosts, {fault:?}: {latest} ms");
            assert!(
                latest <= drain_bound_ms(hosts),
                "{hosts} hosts, {fault:?}: {latest} ms"
            );
        }
    }
}

#[test]
fn a_host_that_missed_a_departure_does_not_take_the_age_of_a_later_aggregate_for_its_own() {
    let (deaf_from, departs_at, deaf_until) = (900, 1_000, 3_900);
    for deaf in [7, 11, 19] {
        let mut fleet = NewsFleet::new(24, FleetFault::None, 1);
        fleet.departs_at = departs_at;
        for now in (0..6_000).step_by(STEP_MS as usize) {
            for (from, to, message) in fleet.mail.remove(&now).unwrap_or_default() {
                let is_lost = to == deaf && (deaf_from..deaf_until).contains(&now);
                if from == to || !is_lost {
                    fleet.receive(now, to, message);
                }
            }
            for host in 0..fleet.hosts.len() {
                fleet.send(now, host);
                // The deaf host does not reach the store.
                if host != deaf {
                    fleet.read(now, host);
                }
            }
            let decisions = &fleet.hosts[deaf].decisions;
            let key = decisions.registry.find(SERVER);
            let is_used = key.is_some_and(|key| decisions.registry.takes_work(key));
            let is_noticed = decisions.has_stale_news(at(now));
            assert!(
                now < departs_at + drain_bound_ms(24) || !is_used || is_noticed,
                "host {deaf} uses the server at {now} ms and takes its data for new"
            );
        }
    }
}

#[test]
fn a_removal_is_final_for_a_host_that_the_store_turned_away_while_it_served_the_others() {
    let mut hosts: Vec<ModelHost> = (0..3).map(|number| ModelHost::new(number, 1)).collect();
    introduce(&mut hosts);
    let decisions = &mut hosts[0].decisions;
    decisions
        .registry
        .apply_registration(at(0), registration(false));
    // The store rejects this host for nine seconds; peers tell it what they read there.
    for now in (0..9_000).step_by(200) {
        decisions.record_store_failure(at(now));
        decisions.merge_server_updates(at(now), Duration::from_millis(100), Vec::new(), &[]);
        assert!(!decisions.has_stale_news(at(now)));
    }
    decisions.record_store_response(at(9_000));
    let key = decisions.registry.apply_removal(at(9_300), SERVER);
    let key = key.expect("a known server");
    assert!(!decisions.registry.takes_work(key));
}

#[test]
fn a_host_that_was_cut_off_for_longer_than_departures_are_named_does_not_take_a_peers_age() {
    let age = Duration::from_millis(100);
    for (cut_ms, is_stale) in [(9_000, false), (11_000, true)] {
        let decisions = &mut ModelHost::new(0, 1).decisions;
        decisions.record_peer_state(at(1_000), age);
        assert!(!decisions.lacks_news(at(1_000)));
        decisions.record_peer_state(at(1_000 + cut_ms), age);
        assert_eq!(decisions.has_stale_news(at(1_000 + cut_ms)), is_stale);
    }
}

#[test]
fn a_removal_is_final_for_a_turned_away_host_that_missed_digests_of_current_peers() {
    let mut hosts: Vec<ModelHost> = (0..24).map(|number| ModelHost::new(number, 1)).collect();
    introduce(&mut hosts);
    let decisions = &mut hosts[0].decisions;
    decisions
        .registry
        .apply_registration(at(0), registration(false));
    decisions.record_store_response(at(100));
    // After 1.5 s without a digest the host takes no claims, but its peers read the store.
    for now in (1_650..9_000).step_by(200) {
        decisions.merge_server_updates(at(now), Duration::from_millis(100), Vec::new(), &[]);
        decisions.record_store_failure(at(now));
    }
    assert!(decisions.has_stale_news(at(8_900)));
    decisions.record_store_response(at(9_000));
    let key = decisions.registry.apply_removal(at(9_300), SERVER);
    let key = key.expect("a known server");
    assert!(!decisions.registry.takes_work(key));
}
