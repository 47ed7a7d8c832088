//! Departures of servers reach every host in time, whatever part of the fleet fails around them.
//!
//! Hosts are real decision states on virtual time; messages and reads are modelled here.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::time::Timestamp;
use teaselglade_host::settings::{DutySettings, HostSettings, ListenAddresses, LogSettings};
use teaselglade_host::state::DecisionState;
use teaselglade_routing::gossip::{AggregateDigest, CandidateHost, HostDigest, PeerAddress};
use teaselglade_routing::registry::{RegistrationState, ServerRegistration, UpdateScope};

const ZONES: [&str; 4] = ["ennis", "galway", "limerick", "sligo"];
const STEP_MS: u64 = 10;
const DIGEST_MS: u64 = 200;
const AGGREGATE_MS: u64 = 400;
/// Time over which an aggregate is sent.
const AGGREGATE_SPREAD_MS: u64 = 320;
const MESSAGE_MS: u64 = 30;
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
    Host(Box<HostDigest>),
    Aggregate(Box<AggregateDigest>),
    /// Registration of the server as of the request, or a failed read.
    Read(Option<ServerRegistration>),
}

struct FleetHost {
    decisions: DecisionState,
    zone: &'static str,
    sequence: u64,
    next_read: u64,
}

struct NewsFleet {
    hosts: Vec<FleetHost>,
    fault: FleetFault,
    /// Hosts that the fault affects.
    affected: Vec<bool>,
    departs_at: u64,
    mail: BTreeMap<u64, Vec<(usize, usize, Message)>>,
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + millis)
}

fn peer_address(host: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + host as u32), 7_600))
}

fn host_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("hosts have IPv4 addresses"),
    }
}

fn host_name(host: usize) -> String {
    format!("edge-{}-{host}", ZONES[host % ZONES.len()])
}

fn settings(host: usize) -> HostSettings {
    let address = peer_address(host);
    HostSettings {
        name: host_name(host),
        zone: ZONES[host % ZONES.len()].to_owned(),
        listen: ListenAddresses {
            callers: address,
            readiness: address,
            peers: address,
        },
        seeds: Vec::new(),
        link_bytes_per_second: None,
        shutdown_grace_period: Duration::from_secs(8),
        duties: DutySettings {
            reports_usage: false,
            orders_servers: false,
            usage_window: Duration::from_secs(5),
            lease_term: Duration::from_secs(3),
        },
        log: LogSettings::default(),
    }
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
    }
}

impl NewsFleet {
    fn new(count: usize, fault: FleetFault, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let hosts = (0..count).map(|host| {
            let mut decisions = DecisionState::new(&settings(host), seed + host as u64);
            decisions
                .registry
                .apply_registration(at(0), registration(false));
            decisions.record_store_response(at(0));
            FleetHost {
                decisions,
                zone: ZONES[host % ZONES.len()],
                sequence: 1,
                next_read: random.random_range(0..READ_INTERVAL_MS),
            }
        });
        let mut fleet = Self {
            hosts: hosts.collect(),
            fault,
            affected: vec![false; count],
            departs_at: FAULT_AT_MS + random.random_range(0..3_000) - 500,
            mail: BTreeMap::new(),
        };
        for sender in 0..count {
            let digest = fleet.digest(0, sender).0;
            for host in &mut fleet.hosts {
                host.decisions.membership.record_digest(at(0), &digest);
            }
        }
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

    /// Builds a host's digest as the transport does, with its targets.
    fn digest(&mut self, now: u64, host: usize) -> (HostDigest, Vec<SocketAddr>) {
        let time = at(now);
        let sender = &mut self.hosts[host];
        sender.sequence += 1;
        let decisions = &mut sender.decisions;
        decisions.membership.expire(time);
        let scope = decisions.update_scope(time);
        let number = decisions.membership.is_large().then_some(sender.sequence);
        let last_aggregate_at = decisions.quotas.last_aggregate_at();
        let requested_aggregator = decisions
            .membership
            .choose_aggregator(time, last_aggregate_at);
        let digest = HostDigest {
            host: PeerAddress {
                name: host_name(host),
                address: peer_address(host),
            },
            started_at_us: 1,
            sequence: sender.sequence,
            table_version: 1,
            store_reachable: decisions.store_reachable(),
            is_leader: false,
            update_age_ms: decisions.shared_update_age(time).as_millis() as u64,
            updates: decisions.registry.updates(time, scope),
            spend: HashMap::default(),
            loads: Vec::new(),
            cached_parts: Vec::new(),
            demand: Vec::new(),
            usage: Vec::new(),
            decided_reports: Vec::new(),
            departures: decisions.registry.departures(time, scope, number),
            requested_aggregator,
            peers: Vec::new(),
            zone: sender.zone.to_owned(),
            part_evidence: Vec::new(),
        };
        (digest, decisions.membership.gossip_targets(time))
    }

    fn aggregate(&mut self, now: u64, host: usize) -> AggregateDigest {
        let time = at(now);
        let sender = &mut self.hosts[host];
        let decisions = &mut sender.decisions;
        let own = CandidateHost {
            host: PeerAddress {
                name: host_name(host),
                address: peer_address(host),
            },
            started_at_us: 1,
            last_seen_ms: 0,
            store_reachable: decisions.store_reachable(),
            is_leader: false,
            zone: sender.zone.to_owned(),
        };
        let number = Some(sender.sequence / 2);
        AggregateDigest {
            sender: own.host.clone(),
            candidates: decisions.membership.candidates(time, own),
            table_version: 1,
            seen_share: decisions.membership.seen_share(time),
            update_age_ms: decisions.update_age(time).as_millis() as u64,
            updates: decisions.registry.updates(time, UpdateScope::All),
            departures: decisions
                .registry
                .departures(time, UpdateScope::All, number),
            loads: Vec::new(),
            cached_parts: Vec::new(),
            spend: HashMap::default(),
            part_evidence: Vec::new(),
        }
    }

    /// Sends the digests and aggregates of a host that are due.
    fn send(&mut self, now: u64, host: usize) {
        let offset = host as u64 * STEP_MS;
        if !(now + offset).is_multiple_of(DIGEST_MS) {
            return;
        }
        let (digest, targets) = self.digest(now, host);
        for target in targets {
            let message = Message::Host(Box::new(digest.clone()));
            self.post(now + MESSAGE_MS, host, host_of(target), message);
        }
        if !(now + offset).is_multiple_of(AGGREGATE_MS) {
            return;
        }
        let decisions = &self.hosts[host].decisions;
        if !decisions.membership.is_aggregator(at(now)) {
            return;
        }
        let served = decisions.membership.served_peers(at(now));
        let aggregate = self.aggregate(now, host);
        let count = served.len() as u64;
        for (number, target) in (0..).zip(served) {
            let sent_at = now + AGGREGATE_SPREAD_MS * number / count;
            let message = Message::Aggregate(Box::new(aggregate.clone()));
            self.post(sent_at + MESSAGE_MS, host, host_of(target), message);
        }
    }

    /// Starts a read of the store if the host reads it and one is due.
    fn read(&mut self, now: u64, host: usize) {
        let reader = &self.hosts[host];
        let decisions = &reader.decisions;
        let is_reader = decisions.membership.is_store_reader(at(now))
            || decisions.lacks_aggregate(at(now))
            || decisions.has_stale_news(at(now));
        if !is_reader || now < reader.next_read {
            return;
        }
        let (result, answered_at) = if self.reaches_store(now, host) {
            (Some(registration(now >= self.departs_at)), now + READ_MS)
        } else {
            (None, now + READ_TIMEOUT_MS)
        };
        // The next read is scheduled when the answer arrives.
        self.hosts[host].next_read = u64::MAX;
        self.post(answered_at, host, host, Message::Read(result));
    }

    fn receive(&mut self, now: u64, to: usize, message: Message) {
        let time = at(now);
        let receiver = &mut self.hosts[to];
        let decisions = &mut receiver.decisions;
        match message {
            Message::Host(digest) => {
                if decisions.membership.record_digest(time, &digest) {
                    let age = Duration::from_millis(digest.update_age_ms);
                    decisions.merge_server_updates(time, age, digest.updates, &digest.departures);
                }
            }
            Message::Aggregate(digest) => {
                for candidate in &digest.candidates {
                    decisions.membership.record_candidate(time, candidate);
                }
                let age = Duration::from_millis(digest.update_age_ms);
                decisions.merge_server_updates(time, age, digest.updates, &digest.departures);
                if !decisions.membership.is_aggregator(time) {
                    decisions
                        .quotas
                        .apply_aggregate(time, digest.spend, digest.seen_share);
                }
            }
            Message::Read(Some(registration)) => {
                decisions.registry.apply_registration(time, registration);
                decisions.record_store_response(time);
                receiver.next_read = now + READ_INTERVAL_MS;
            }
            Message::Read(None) => {
                decisions.record_store_failure(time);
                let is_reader = decisions.membership.is_store_reader(time);
                let delay = if is_reader {
                    READ_INTERVAL_MS
                } else {
                    IDLE_RETRY_MS
                };
                receiver.next_read = now + delay;
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
