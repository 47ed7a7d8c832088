//! Servers that name limits get no more than that of all hosts together, and not much less.
//!
//! Hosts are real decision states on virtual time; messages, servers and callers are modelled here.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_host::state::PermitStep;
use teaselglade_placement::limit::{
    DemandMessage, DemandSource, LimitRow, LimitedRequest, ShareLimiter, TokenBucket,
};
use teaselglade_routing::limit::{
    LimitWord, PermitAnswer, PermitMessage, PermitRequest, RequestLimit,
};
use teaselglade_routing::registry::{RegistrationState, ServerRegistration, StorePosition};

use super::fleet_model::{ModelDigest, ModelHost, STEP_MS, ZONES, at, host_of, introduce};

/// Time from the start of the fleet to the first limit.
const NAMED_AT_MS: u64 = 4_000;
/// Time for which the run goes on after that.
const RUN_MS: u64 = 60_000;
const HOP_MS: u64 = 10;
const ANSWER_TIME_MS: u64 = 150;
const ASKS: u64 = 3;
const UNANSWERED_WAIT_MS: u64 = 300;
const MIN_DENIED_MS: u64 = 20;
const WINDOW_MS: u64 = 4_000;
/// Time after which a host that passed on a limit must hold it.
const TOLD_MS: u64 = 500;
/// Time after a limit falls until the new one binds: as long as after the first limit.
const CONTACT_MS: u64 = 3_000;
/// Requests that callers want to send to a limited server, relative to its limit.
const DEMAND_FACTOR: f64 = 2.0;
/// Least fraction of the limit that must reach a server whose callers want it.
const MIN_USED: f64 = 0.8;
const FAULT_AT_MS: u64 = NAMED_AT_MS + 10_000;
const FAULT_MS: u64 = 10_000;

/// How hosts keep a limit; all but the first are rejected alternatives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendPolicy {
    /// Permits of one issuer for each server.
    Permits,
    /// Each host holds the limit by itself.
    HostAlone,
    /// Each host has an equal part and may save up one request.
    EqualParts,
    /// Each host has the part of its callers' demand, as the hosts tell each other.
    DemandShares,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerPattern {
    OneHost,
    AllHosts,
    /// All callers move to the next host every 2 s.
    Shifting,
    /// Nobody calls for 9 s, then the callers of all hosts at once for 3 s.
    Rush,
}

const PATTERNS: [CallerPattern; 4] = [
    CallerPattern::OneHost,
    CallerPattern::AllHosts,
    CallerPattern::Shifting,
    CallerPattern::Rush,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FleetFault {
    None,
    /// One datagram in twenty is lost.
    Lossy,
    /// Three datagrams in ten are lost.
    VeryLossy,
    /// A data centre and the other ones do not reach each other.
    ZoneCut,
    /// The first host, which issues permits, freezes again and again for 1.5 s.
    IssuerFreezes,
    /// One host after another ends and starts again at once.
    Restarts,
    /// The limits change every 3 s, end for a while and come again.
    Changes,
}

const FAULTS: [FleetFault; 7] = [
    FleetFault::None,
    FleetFault::Lossy,
    FleetFault::VeryLossy,
    FleetFault::ZoneCut,
    FleetFault::IssuerFreezes,
    FleetFault::Restarts,
    FleetFault::Changes,
];

#[derive(Debug)]
enum Mail {
    Digest(ModelDigest),
    Permit(usize, PermitMessage),
    Demand(DemandSource, DemandMessage),
    /// A request for a permit got no answer yet.
    Unanswered(u64),
    Arrival {
        server: usize,
        sent_at: u64,
    },
    Response {
        server: usize,
        sent_at: u64,
        limit: Option<f64>,
    },
}

/// Request that waits for its permit.
#[derive(Debug)]
struct Asked {
    server: usize,
    issuer: usize,
    request: PermitRequest,
    times: u64,
}

struct Sent {
    to: usize,
    mail: Mail,
}

struct LimitFleet {
    policy: SendPolicy,
    pattern: CallerPattern,
    fault: FleetFault,
    limits: Vec<f64>,
    hosts: Vec<ModelHost>,
    random: Pcg32,
    mail: BTreeMap<u64, Vec<Sent>>,
    asked: HashMap<(usize, u64), Asked>,
    last_number: u64,
    /// Time at which each host first passed on a limit of each server.
    told_at: Vec<HashMap<usize, u64>>,
    /// Arrivals at each server: time and host.
    arrivals: Vec<Vec<(u64, usize)>>,
    buckets: HashMap<(usize, usize), TokenBucket>,
    shares: Vec<ShareLimiter>,
}

fn server_name(server: usize) -> String {
    format!("i-{server}")
}

fn registration(server: usize) -> ServerRegistration {
    ServerRegistration {
        id: server_name(server),
        started_at_ms: 1,
        heartbeat: 1,
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

impl LimitFleet {
    fn new(
        count: usize,
        limits: &[f64],
        policy: SendPolicy,
        pattern: CallerPattern,
        fault: FleetFault,
        seed: u64,
    ) -> Self {
        let mut hosts: Vec<ModelHost> = (0..count)
            .map(|number| ModelHost::new(number, seed))
            .collect();
        introduce(&mut hosts);
        let mut fleet = Self {
            policy,
            pattern,
            fault,
            limits: limits.to_vec(),
            hosts,
            random: Pcg32::seed_from_u64(seed),
            mail: BTreeMap::new(),
            asked: HashMap::new(),
            last_number: 0,
            told_at: vec![HashMap::new(); count],
            arrivals: vec![Vec::new(); limits.len()],
            buckets: HashMap::new(),
            shares: vec![ShareLimiter::default(); count],
        };
        for host in 0..count {
            fleet.register(host, 0);
        }
        for host in 0..count {
            for other in (0..count).filter(|other| *other != host) {
                fleet.shares[host].add_source(DemandSource::new(other as u32));
            }
        }
        fleet
    }

    fn register(&mut self, host: usize, now: u64) {
        for server in 0..self.limits.len() {
            let registry = &mut self.hosts[host].decisions.registry;
            registry.apply_registration(at(now), registration(server));
        }
    }

    /// Returns the limit that a server names at a time.
    fn limit(&self, now: u64, server: usize) -> Option<f64> {
        let limit = self.limits[server];
        let since = now.checked_sub(NAMED_AT_MS)?;
        if self.fault != FleetFault::Changes {
            return Some(limit);
        }
        match since / 3_000 % 5 {
            0 => Some(limit),
            1 => Some(limit * 3.0),
            2 => Some(limit * 0.5),
            3 => None,
            _ => Some(limit * 1.5),
        }
    }

    const fn is_faulty(now: u64) -> bool {
        now >= FAULT_AT_MS && now < FAULT_AT_MS + FAULT_MS
    }

    fn is_running(&self, now: u64, host: usize) -> bool {
        let is_frozen = self.fault == FleetFault::IssuerFreezes
            && host == 0
            && Self::is_faulty(now)
            && now % 3_000 < 1_500;
        !is_frozen
    }

    fn reaches(&mut self, now: u64, from: usize, to: usize) -> bool {
        match self.fault {
            FleetFault::Lossy => !self.random.random_bool(0.05),
            FleetFault::VeryLossy => !self.random.random_bool(0.3),
            FleetFault::ZoneCut if Self::is_faulty(now) => {
                let is_inside = |host: usize| self.hosts[host].zone == ZONES[0];
                is_inside(from) == is_inside(to)
            }
            _ => true,
        }
    }

    fn post(&mut self, arrives_at: u64, to: usize, mail: Mail) {
        let due = arrives_at.div_ceil(STEP_MS) * STEP_MS;
        self.mail.entry(due).or_default().push(Sent { to, mail });
    }

    /// Sends a datagram, which may be lost.
    fn post_datagram(&mut self, now: u64, from: usize, arrives_at: u64, to: usize, mail: Mail) {
        if self.reaches(now, from, to) {
            self.post(arrives_at, to, mail);
        }
    }

    fn key(&self, host: usize, server: usize) -> ServerKey {
        let registry = &self.hosts[host].decisions.registry;
        registry
            .find(&server_name(server))
            .expect("a registered server")
    }

    /// Runs the fleet to its end.
    fn run(&mut self) {
        for now in (0..NAMED_AT_MS + RUN_MS).step_by(STEP_MS as usize) {
            for sent in self.mail.remove(&now).unwrap_or_default() {
                if self.is_running(now, sent.to) || matches!(sent.mail, Mail::Arrival { .. }) {
                    self.receive(now, sent);
                }
            }
            if self.fault == FleetFault::Restarts && Self::is_faulty(now) && now.is_multiple_of(700)
            {
                let host = (now / 700) as usize % self.hosts.len();
                self.restart(host, now);
            }
            for host in 0..self.hosts.len() {
                if self.is_running(now, host) {
                    for sent in self.hosts[host].due_digests(now) {
                        let digest = Mail::Digest(sent.digest);
                        self.post_datagram(now, host, sent.arrives_at, sent.to, digest);
                    }
                    if self.policy == SendPolicy::DemandShares && now.is_multiple_of(200) {
                        self.send_demand(now, host);
                    }
                }
            }
            for server in 0..self.limits.len() {
                self.call(now, server);
            }
        }
    }

    /// Lets one host hear a limit and returns the time until all hosts in touch with it know it.
    fn spread(&mut self, heard_at: u64, hearer: usize) -> u64 {
        for now in (0..heard_at + RUN_MS).step_by(STEP_MS as usize) {
            for sent in self.mail.remove(&now).unwrap_or_default() {
                if self.is_running(now, sent.to) {
                    self.receive(now, sent);
                }
            }
            if now == heard_at {
                let key = self.key(hearer, 0);
                let word = LimitWord::Named(RequestLimit::per_second(1.0));
                let decisions = &mut self.hosts[hearer].decisions;
                decisions.record_limit(at(now), key, at(now - HOP_MS), word);
            }
            for host in 0..self.hosts.len() {
                if self.is_running(now, host) {
                    for sent in self.hosts[host].due_digests(now) {
                        let digest = Mail::Digest(sent.digest);
                        self.post_datagram(now, host, sent.arrives_at, sent.to, digest);
                    }
                }
            }
            let is_cut = self.fault == FleetFault::ZoneCut && Self::is_faulty(now);
            let knows = |host: usize| {
                let zone = self.hosts[host].zone;
                let is_apart =
                    is_cut && (zone == ZONES[0]) != (self.hosts[hearer].zone == ZONES[0]);
                is_apart
                    || !self.is_running(now, host)
                    || self.hosts[host].decisions.needs_permit(self.key(host, 0))
            };
            if now >= heard_at && (0..self.hosts.len()).all(knows) {
                return now - heard_at;
            }
        }
        panic!("{:?}: some host never knows of the limit", self.fault);
    }

    fn restart(&mut self, host: usize, now: u64) {
        self.hosts[host].restart(now, self.random.random());
        self.register(host, now);
        // A host that starts reads the list of hosts from the store.
        let digests: Vec<_> = (0..self.hosts.len())
            .filter(|other| *other != host)
            .map(|other| self.hosts[other].digest(now).0)
            .collect();
        for digest in digests {
            let membership = &mut self.hosts[host].decisions.membership;
            membership.add_peer(at(now), &digest.host);
        }
        self.told_at[host].clear();
    }

    /// Lets the callers of a server send what they want in one step.
    fn call(&mut self, now: u64, server: usize) {
        let wanted = match self.limit(now, server) {
            Some(limit) => limit * DEMAND_FACTOR + 0.5,
            None => self.limits[server] * DEMAND_FACTOR + 0.5,
        };
        let factor = match self.pattern {
            CallerPattern::Rush if now % 12_000 < 9_000 => 0.0,
            CallerPattern::Rush => self.hosts.len() as f64,
            _ => 1.0,
        };
        let expected = factor * wanted * STEP_MS as f64 / 1_000.0;
        let count = expected.floor() as usize
            + usize::from(self.random.random_bool(expected - expected.floor()));
        for _ in 0..count {
            let hosts = self.hosts.len();
            let host = match self.pattern {
                CallerPattern::OneHost => hosts - 1,
                CallerPattern::AllHosts | CallerPattern::Rush => self.random.random_range(0..hosts),
                CallerPattern::Shifting => (now / 2_000) as usize % hosts,
            };
            if self.is_running(now, host) {
                self.request(now, host, server);
            }
        }
    }

    /// Sends a request of a caller if the host's policy allows it now.
    fn request(&mut self, now: u64, host: usize, server: usize) {
        let key = self.key(host, server);
        let decisions = &mut self.hosts[host].decisions;
        if !decisions.needs_permit(key) {
            self.send(now, host, server);
            return;
        }
        match self.policy {
            SendPolicy::Permits => self.ask(now, host, server, key),
            SendPolicy::HostAlone => self.send_from_bucket(now, host, server, 1.0),
            SendPolicy::EqualParts => {
                let part = 1.0 / self.hosts.len() as f64;
                self.send_from_bucket(now, host, server, part);
            }
            SendPolicy::DemandShares => {
                let request = LimitedRequest::new(&server_name(server), "", 1);
                if self.shares[host].admit(at(now), &request).is_ok() {
                    self.shares[host].release(&request);
                    self.send(now, host, server);
                }
            }
        }
    }

    fn send_from_bucket(&mut self, now: u64, host: usize, server: usize, part: f64) {
        let rate = self.limit(now, server).unwrap_or(self.limits[server]) * part;
        let bucket = self.buckets.entry((host, server)).or_default();
        bucket.set_rate(at(now), rate);
        if bucket.has(at(now), 1.0) {
            bucket.take(1.0);
            self.send(now, host, server);
        }
    }

    fn send_demand(&mut self, now: u64, host: usize) {
        let rows = (0..self.limits.len()).map(|server| LimitRow {
            row: LimitRow::organisation_row(&server_name(server)),
            requests: Some(self.limits[server]),
            tokens: None,
            concurrency: None,
        });
        let rows: Vec<LimitRow> = rows.collect();
        self.shares[host].set_rows(at(now), &rows);
        let message = self.shares[host].demand_message(at(now));
        for to in (0..self.hosts.len()).filter(|to| *to != host) {
            let demand = Mail::Demand(DemandSource::new(host as u32), message.clone());
            self.post_datagram(now, host, now + HOP_MS, to, demand);
        }
    }

    fn ask(&mut self, now: u64, host: usize, server: usize, key: ServerKey) {
        let decisions = &mut self.hosts[host].decisions;
        let mut available = decisions.registry.available(at(now), "draft-fleet");
        if !available.any(|(known, _)| known == key) {
            return;
        }
        drop(available);
        match decisions.begin_permit(at(now), key, Duration::ZERO) {
            PermitStep::Decided { answer, .. } => self.decide(now, host, server, answer),
            PermitStep::Ask { issuer, notice, .. } => {
                let issuer = host_of(issuer);
                self.last_number += 1;
                let number = self.last_number;
                let request = PermitRequest {
                    asker: host as u64,
                    number,
                    notice,
                    max_wait_ms: 0,
                };
                let asked = Asked {
                    server,
                    issuer,
                    request,
                    times: 0,
                };
                self.asked.insert((host, number), asked);
                self.ask_again(now, host, number);
            }
        }
    }

    /// Sends a request for a permit, up to three times.
    fn ask_again(&mut self, now: u64, host: usize, number: u64) {
        let Some(asked) = self.asked.get_mut(&(host, number)) else {
            return;
        };
        if asked.times == ASKS {
            let server = asked.server;
            self.asked.remove(&(host, number));
            self.deny(now, host, server, UNANSWERED_WAIT_MS);
            return;
        }
        asked.times += 1;
        let (issuer, request) = (asked.issuer, PermitMessage::Ask(asked.request.clone()));
        self.post_datagram(now, host, now + HOP_MS, issuer, Mail::Permit(host, request));
        self.post(now + ANSWER_TIME_MS / ASKS, host, Mail::Unanswered(number));
    }

    fn decide(&mut self, now: u64, host: usize, server: usize, answer: PermitAnswer) {
        match answer {
            PermitAnswer::Granted { wait_ms } => self.send(now + wait_ms, host, server),
            PermitAnswer::Denied { wait_ms } => {
                let wait = wait_ms.max(MIN_DENIED_MS);
                self.deny(now, host, server, wait);
            }
        }
    }

    fn deny(&mut self, now: u64, host: usize, server: usize, wait_ms: u64) {
        let key = self.key(host, server);
        let registry = &mut self.hosts[host].decisions.registry;
        registry.record_permit_denial(key, at(now + wait_ms));
    }

    fn send(&mut self, now: u64, host: usize, server: usize) {
        let arrival = Mail::Arrival {
            server,
            sent_at: now,
        };
        self.post(now + HOP_MS, host, arrival);
    }

    fn receive(&mut self, now: u64, sent: Sent) {
        let Sent { to, mail } = sent;
        match mail {
            Mail::Digest(digest) => self.hosts[to].receive(now, digest),
            Mail::Demand(source, message) => self.shares[to].receive(at(now), source, message),
            Mail::Permit(from, message) => self.receive_permit(now, to, from, message),
            Mail::Unanswered(number) => self.ask_again(now, to, number),
            Mail::Arrival { server, sent_at } => {
                self.arrivals[server].push((now, to));
                let limit = self.limit(now, server);
                // The head of a long prompt's stream comes late.
                let answer_ms = if self.random.random_bool(0.2) {
                    1_500
                } else {
                    20
                };
                let response = Mail::Response {
                    server,
                    sent_at,
                    limit,
                };
                self.post(now + answer_ms + HOP_MS, to, response);
            }
            Mail::Response {
                server,
                sent_at,
                limit,
            } => {
                let key = self.key(to, server);
                let word = limit.map_or(LimitWord::Absent, |limit| {
                    LimitWord::Named(RequestLimit::per_second(limit))
                });
                let decisions = &mut self.hosts[to].decisions;
                decisions.record_limit(at(now), key, at(sent_at), word);
                if limit.is_some() {
                    self.told_at[to].entry(server).or_insert(now);
                }
            }
        }
    }

    fn receive_permit(&mut self, now: u64, to: usize, from: usize, message: PermitMessage) {
        match message {
            PermitMessage::Ask(request) => {
                let decisions = &mut self.hosts[to].decisions;
                let (answer, _changes) = decisions.answer_permit(at(now), &request);
                let answer = PermitMessage::Answer {
                    number: request.number,
                    server: request.notice.server,
                    answer,
                };
                self.post_datagram(now, to, now + HOP_MS, from, Mail::Permit(to, answer));
            }
            PermitMessage::Answer {
                number,
                server,
                answer,
            } => match self.asked.remove(&(to, number)) {
                Some(asked) => {
                    assert_eq!(asked.issuer, from);
                    self.decide(now, to, asked.server, answer);
                }
                None => {
                    if matches!(answer, PermitAnswer::Granted { .. }) {
                        let back = PermitMessage::GiveBack { server };
                        self.post_datagram(now, to, now + HOP_MS, from, Mail::Permit(to, back));
                    }
                }
            },
            PermitMessage::GiveBack { server } => {
                let issuer = &mut self.hosts[to].decisions.permit_issuer;
                issuer.take_back(server);
            }
        }
    }

    /// Returns the largest limit that binds in a window, a fallen one only after a while.
    fn largest_limit(&self, server: usize, from: u64, to: u64) -> Option<f64> {
        let times = (from.saturating_sub(CONTACT_MS)..to).step_by(100);
        times
            .map(|time| self.limit(time, server))
            .collect::<Option<Vec<f64>>>()
            .map(|limits| limits.into_iter().fold(0.0, f64::max))
    }

    /// Returns the most requests beyond what is allowed in any window, of hosts that were told.
    fn largest_excess(&self) -> f64 {
        let mut excess = f64::MIN;
        for (server, arrivals) in self.arrivals.iter().enumerate() {
            let told = arrivals.iter().filter(|(time, host)| {
                let told_at = self.told_at[*host].get(&server);
                *time >= NAMED_AT_MS + CONTACT_MS
                    && told_at.is_some_and(|told_at| *time >= told_at + TOLD_MS)
            });
            let times: Vec<u64> = told.map(|(time, _)| *time).collect();
            for (index, start) in times.iter().enumerate() {
                let window = times[index..].iter();
                let count = window.take_while(|time| **time < start + WINDOW_MS).count();
                if let Some(limit) = self.largest_limit(server, *start, start + WINDOW_MS) {
                    let allowed = 1.5 * (WINDOW_MS as f64 / 1_000.0) * limit + 5.0;
                    excess = excess.max(count as f64 - allowed);
                }
            }
        }
        excess
    }

    /// Returns the least share of its limit that a server got while it named one.
    fn least_used(&self) -> f64 {
        let used = (0..self.limits.len()).map(|server| {
            let from = NAMED_AT_MS + CONTACT_MS;
            let steps = (from..NAMED_AT_MS + RUN_MS).step_by(100);
            let named = steps.filter_map(|time| self.limit(time, server));
            let offered = named.sum::<f64>() * 0.1;
            let arrivals = self.arrivals[server].iter();
            let taken = arrivals
                .filter(|(time, _)| *time >= from && self.limit(*time, server).is_some())
                .count();
            taken as f64 / offered
        });
        used.fold(f64::MAX, f64::min)
    }
}

fn environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns the fleets to play: host counts and numbers of seeds.
fn fleets() -> Vec<(usize, u64)> {
    match environment("LIMIT_HOSTS") {
        Some(hosts) => vec![(hosts as usize, environment("LIMIT_SEEDS").unwrap_or(1))],
        None => vec![(7, 1), (24, 1)],
    }
}

/// Limits of the servers of one run.
const LIMITS: [[f64; 3]; 3] = [[0.2, 1.0, 5.0], [1.0, 1.0, 1.0], [2.0, 20.0, 50.0]];

// `LIMIT_HOSTS=98 LIMIT_SEEDS=2 cargo test --release -p teaselglade-host --test host limits` plays
// larger fleets.
#[test]
fn all_hosts_together_stay_below_the_limits_of_servers() {
    for (hosts, seeds) in fleets() {
        for fault in FAULTS {
            for pattern in PATTERNS {
                let (mut excess, mut used) = (f64::MIN, f64::MAX);
                for seed in 0..seeds {
                    // Large fleets play the sets of limits in turn.
                    let turn = (seed as usize + fault as usize) % LIMITS.len();
                    let sets = if hosts < 20 {
                        &LIMITS[..]
                    } else {
                        &LIMITS[turn..=turn]
                    };
                    for limits in sets {
                        let policy = SendPolicy::Permits;
                        let mut fleet =
                            LimitFleet::new(hosts, limits, policy, pattern, fault, seed);
                        fleet.run();
                        excess = excess.max(fleet.largest_excess());
                        used = used.min(fleet.least_used());
                    }
                }
                println!(
                    "{hosts} hosts, {fault:?}, {pattern:?}: {excess:.1} beyond, {used:.2} used"
                );
                assert!(
                    excess <= 0.0,
                    "{hosts} hosts, {fault:?}, {pattern:?}: {excess:.1} beyond the limit"
                );
                let is_whole = matches!(fault, FleetFault::None | FleetFault::Lossy)
                    && pattern != CallerPattern::Rush;
                assert!(
                    used >= MIN_USED || !is_whole,
                    "{hosts} hosts, {fault:?}, {pattern:?}: {used:.2} of the limit used"
                );
            }
        }
    }
}

#[test]
fn the_rejected_ways_to_share_a_limit_break_it_or_waste_it() {
    let policies = [
        SendPolicy::HostAlone,
        SendPolicy::EqualParts,
        SendPolicy::DemandShares,
    ];
    for policy in policies {
        for hosts in [9, 24] {
            let (mut excess, mut used) = (f64::MIN, f64::MAX);
            for pattern in PATTERNS {
                let limits = [1.0, 5.0];
                let mut fleet =
                    LimitFleet::new(hosts, &limits, policy, pattern, FleetFault::None, 1);
                fleet.run();
                excess = excess.max(fleet.largest_excess());
                used = used.min(fleet.least_used());
            }
            println!("{policy:?}, {hosts} hosts: {excess:.1} beyond, {used:.2} used");
            assert!(excess > 0.0 || used < MIN_USED, "{policy:?} works");
        }
    }
}

/// Returns the time in which a fleet of this size has to hold a limit, as the sites specify.
const fn contact_bound_ms(hosts: usize) -> u64 {
    if hosts < 60 { 3_000 } else { 4_000 }
}

#[test]
fn hosts_that_no_server_told_know_of_a_limit_in_time() {
    let faults = [
        FleetFault::None,
        FleetFault::Lossy,
        FleetFault::ZoneCut,
        FleetFault::IssuerFreezes,
    ];
    for (hosts, seeds) in fleets() {
        for fault in faults {
            let spreads = (0..seeds.max(4)).map(|seed| {
                let (policy, pattern) = (SendPolicy::Permits, CallerPattern::AllHosts);
                let mut fleet = LimitFleet::new(hosts, &[1.0], policy, pattern, fault, seed);
                let hearer = 1 + seed as usize * 3 % (hosts - 1);
                fleet.spread(FAULT_AT_MS + 1_500 + 370 * seed, hearer)
            });
            let latest = spreads.max().expect("a run");
            println!("{hosts} hosts, {fault:?}: {latest} ms");
            assert!(
                latest <= contact_bound_ms(hosts),
                "{hosts} hosts, {fault:?}: {latest} ms"
            );
        }
    }
}

// The transport reads datagrams of up to 60 KiB.
#[test]
fn a_report_of_a_thousand_limited_servers_fits_a_datagram() {
    let mut host = ModelHost::new(0, 1);
    for server in 0..1_000 {
        let registry = &mut host.decisions.registry;
        let key = registry.apply_registration(at(0), registration(server));
        let key = key.expect("a new server");
        let word = LimitWord::Named(RequestLimit::per_second(0.5 + server as f64));
        let decisions = &mut host.decisions;
        decisions.record_limit(at(700), key, at(20), word);
    }
    let report = host.decisions.limit_report(at(900), u64::from(u32::MAX), 1);
    assert_eq!(report.notices.len(), 1_000);
    let bytes = rmp_serde::to_vec(&report).expect("an encoded report").len();
    println!("{bytes} bytes");
    assert!(bytes < 60 * 1024, "{bytes} bytes");
}
