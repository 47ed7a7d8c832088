//! Bad versions are rolled back in time and good ones completed, whatever fails around them.
//!
//! Hosts are real decision states on virtual time; callers, servers and messages are modelled here.
//! `ROLLOUT_HOSTS` sets the numbers of hosts, `ROLLOUT_SEEDS` the number of seeds.

use std::collections::BTreeMap;
use std::env;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_routing::registry::{RegistrationState, ServerRegistration, StorePosition};
use teaselglade_routing::rollout::{
    AttemptEvidence, AttemptRecord, RolloutOrder, RolloutStage, VersionChoice,
};

use super::fleet_model::{ModelDigest, ModelHost, STEP_MS, ZONES, at, introduce};

const SERVICE: &str = "ticket-desk";
const ORDER_AT_MS: u64 = 2_000;
const OVER_MS: u64 = 15_000;
/// Users' bounds: share and slack of exposure, and time from the 50th bad answer to the last send.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_MS: u64 = 5_000;
const ROLLBACK_ANSWERS: usize = 50;
const OLD_SERVERS: usize = 6;
const NEW_SERVERS: usize = 6;
/// Requests of all callers in a second, in a small fleet.
const REQUESTS_PER_SECOND: f64 = 240.0;
/// Requests that each host of a large fleet gets in a second.
const REQUESTS_PER_HOST: f64 = 20.0;
/// Size from which a fleet is large.
const LARGE_FLEET_HOSTS: usize = 40;
const WORK_MS: f64 = 30.0;
const FAULT_AT_MS: u64 = 4_000;
const FAULT_MS: u64 = 4_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NewVersion {
    Good,
    Errors,
    Slow,
    /// Fails while a server runs another request.
    UnderLoad,
    OneRoute,
    /// Fails from some seconds after the order.
    Late,
}

const BAD_VERSIONS: [NewVersion; 5] = [
    NewVersion::Errors,
    NewVersion::Slow,
    NewVersion::UnderLoad,
    NewVersion::OneRoute,
    NewVersion::Late,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// One server of the new version ends under its requests and stays away.
    ServerEnds,
    /// One server of the new version fails half of its requests.
    GreyServer,
    /// Three times the requests.
    Burst,
    /// New servers take twice as long in their first seconds.
    ColdServers,
    /// A route fails 14 in 100 requests under both versions.
    RouteFails,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::ServerEnds,
    Trouble::GreyServer,
    Trouble::Burst,
    Trouble::ColdServers,
    Trouble::RouteFails,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkFault {
    None,
    ZoneCut,
    /// One datagram in twenty is lost.
    Lossy,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    hosts: usize,
    version: NewVersion,
    trouble: Trouble,
    fault: LinkFault,
    seed: u64,
}

struct OpenCall {
    host: usize,
    record: AttemptRecord,
    evidence: AttemptEvidence,
    server: usize,
    is_new: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    exposed: usize,
    bad_answers_at: Vec<u64>,
    last_exposed_at: u64,
    completed_at: Option<u64>,
    open_at_old: usize,
    sent_to_old_after: usize,
    stages: Vec<RolloutStage>,
    /// Time at which each host was first seen to have stopped.
    stopped_at: Vec<Option<u64>>,
}

/// How fast a bad version was stopped, the slowest of some runs.
#[derive(Debug, Clone, Copy, Default)]
struct StopTimes {
    /// From the 50th bad answer to the last request at the version; 0 if there was none.
    late_ms: u64,
    /// From the first host that stops to the last one.
    spread_ms: u64,
    bad_answers: usize,
}

impl StopTimes {
    fn max(self, other: Self) -> Self {
        Self {
            late_ms: self.late_ms.max(other.late_ms),
            spread_ms: self.spread_ms.max(other.spread_ms),
            bad_answers: self.bad_answers.max(other.bad_answers),
        }
    }
}

struct RolloutFleet {
    scenario: Scenario,
    hosts: Vec<ModelHost>,
    calls: BTreeMap<u64, Vec<OpenCall>>,
    mail: BTreeMap<u64, Vec<(usize, usize, ModelDigest)>>,
    /// Requests at each server, old ones first.
    busy: Vec<u32>,
    random: Pcg32,
    outcome: Outcome,
}

fn registration(number: usize) -> ServerRegistration {
    let is_new = number >= OLD_SERVERS;
    ServerRegistration {
        id: format!("i-{number}"),
        started_at_ms: if is_new { 2 } else { 1 },
        heartbeat: 1,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        zone: "galway".to_owned(),
        slots: Some(6),
        state: RegistrationState::Ready,
        reclaimable: false,
        version: if is_new { "v2" } else { "v1" }.to_owned(),
        position: StorePosition::default(),
    }
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        over_ms: OVER_MS,
        number: 7,
    }
}

impl RolloutFleet {
    fn new(scenario: Scenario) -> Self {
        let hosts = (0..scenario.hosts).map(|number| {
            let mut host = ModelHost::new(number, scenario.seed);
            for server in 0..OLD_SERVERS {
                let registry = &mut host.decisions.registry;
                registry.apply_registration(at(0), registration(server));
            }
            host
        });
        let mut hosts: Vec<ModelHost> = hosts.collect();
        introduce(&mut hosts);
        Self {
            scenario,
            hosts,
            calls: BTreeMap::new(),
            mail: BTreeMap::new(),
            busy: vec![0; OLD_SERVERS + NEW_SERVERS],
            random: Pcg32::seed_from_u64(scenario.seed),
            outcome: Outcome {
                stopped_at: vec![None; scenario.hosts],
                ..Outcome::default()
            },
        }
    }

    fn run(mut self) -> Outcome {
        let end = ORDER_AT_MS + OVER_MS + 2_000;
        for now in (0..end).step_by(STEP_MS as usize) {
            self.give_news(now);
            self.deliver(now);
            self.end_calls(now);
            self.send_calls(now);
            self.decide(now);
        }
        let rollouts = self.hosts.iter().map(|host| {
            let mut stages = host.decisions.rollouts.suspicions();
            stages
                .next()
                .map_or(RolloutStage::Trial, |(_, stage, ..)| stage)
        });
        self.outcome.stages = rollouts.collect();
        self.outcome
    }

    /// New servers register before the order, which two hosts read.
    fn give_news(&mut self, now: u64) {
        let ended = (self.scenario.trouble == Trouble::ServerEnds && now == FAULT_AT_MS + 1_000)
            .then(|| format!("i-{}", self.worst_server()));
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if now == ORDER_AT_MS - 300 {
                for server in OLD_SERVERS..OLD_SERVERS + NEW_SERVERS {
                    let registry = &mut host.decisions.registry;
                    registry.apply_registration(at(now), registration(server));
                }
            }
            if now == ORDER_AT_MS && number < 2 {
                host.decisions.record_order(at(now), order(), false);
            }
            if let Some(ended) = &ended {
                host.decisions.registry.apply_removal(at(now), ended);
            }
        }
    }

    /// Returns the server that trouble strikes: one that hosts try first.
    fn worst_server(&self) -> usize {
        let host = &self.hosts[0].decisions;
        let trial = (OLD_SERVERS..OLD_SERVERS + NEW_SERVERS).max_by_key(|server| {
            let key = host.registry.find(&format!("i-{server}"));
            key.map_or(0, |_| self.busy[*server])
        });
        trial.unwrap_or(OLD_SERVERS)
    }

    fn is_faulty(now: u64) -> bool {
        (FAULT_AT_MS..FAULT_AT_MS + FAULT_MS).contains(&now)
    }

    fn deliver(&mut self, now: u64) {
        let due = self.mail.remove(&now).into_iter().flatten();
        for (from, to, digest) in due.collect::<Vec<_>>() {
            let is_cut = Self::is_faulty(now)
                && self.scenario.fault == LinkFault::ZoneCut
                && (self.hosts[from].zone == ZONES[1]) != (self.hosts[to].zone == ZONES[1]);
            let is_lost = self.scenario.fault == LinkFault::Lossy && self.random.random_bool(0.05);
            if !is_cut && !is_lost {
                self.hosts[to].receive(now, digest);
            }
        }
        for from in 0..self.hosts.len() {
            for sent in self.hosts[from].due_digests(now) {
                let arrives_at = sent.arrives_at.next_multiple_of(STEP_MS);
                let mail = self.mail.entry(arrives_at.max(now + STEP_MS)).or_default();
                mail.push((from, sent.to, sent.digest));
            }
        }
    }

    fn end_calls(&mut self, now: u64) {
        for mut call in self.calls.remove(&now).into_iter().flatten() {
            self.busy[call.server] -= 1;
            let is_bad = match call.evidence {
                AttemptEvidence::Answered {
                    is_failure,
                    latency,
                } => is_failure || latency > Duration::from_millis(150),
                _ => false,
            };
            if is_bad && call.is_new {
                self.outcome.bad_answers_at.push(now);
            }
            let rollouts = &mut self.hosts[call.host].decisions.rollouts;
            rollouts.record_result(&mut call.record, call.evidence);
            rollouts.record_closed(&call.record);
        }
    }

    fn send_calls(&mut self, now: u64) {
        let is_burst = self.scenario.trouble == Trouble::Burst && Self::is_faulty(now);
        let factor = if is_burst { 3.0 } else { 1.0 };
        let hosts = self.hosts.len();
        let rate = if hosts < LARGE_FLEET_HOSTS {
            REQUESTS_PER_SECOND
        } else {
            hosts as f64 * REQUESTS_PER_HOST
        };
        let mean = rate * factor * STEP_MS as f64 / 1_000.0;
        let count = mean.floor() as usize + usize::from(self.random.random_bool(mean.fract()));
        for _ in 0..count {
            let host = self.random.random_range(0..self.hosts.len());
            self.send_call(now, host);
        }
    }

    fn send_call(&mut self, now: u64, host: usize) {
        let route = [1, 1, 1, 2, 2, 3][self.random.random_range(0..6)];
        let decisions = &mut self.hosts[host].decisions;
        let mut choice = decisions.rollouts.choose(at(now), SERVICE, route, false);
        let server = loop {
            if let Some(server) = pick(decisions, &choice, &mut self.random) {
                break server;
            }
            match choice.fallback() {
                Some(fallback) => choice = fallback,
                None => return,
            }
        };
        let record =
            decisions
                .rollouts
                .record_sent(at(now), &decisions.registry, server, route, true);
        let record = record.expect("the deployment bounds roll-outs");
        let id = &decisions.registry.server(server).registration.id;
        let number: usize = id[2..].parse().expect("a number");
        let is_new = number >= OLD_SERVERS;
        self.count(now, is_new);
        self.busy[number] += 1;
        let (evidence, takes_ms) = self.answer(now, number, route);
        let ends_at = (now + takes_ms).next_multiple_of(STEP_MS);
        self.calls.entry(ends_at).or_default().push(OpenCall {
            host,
            record,
            evidence,
            server: number,
            is_new,
        });
    }

    fn count(&mut self, now: u64, is_new: bool) {
        let outcome = &mut self.outcome;
        if (ORDER_AT_MS..ORDER_AT_MS + OVER_MS).contains(&now) {
            outcome.requests += 1;
            outcome.exposed += usize::from(is_new);
        }
        if is_new {
            outcome.last_exposed_at = now;
        } else if outcome.completed_at.is_some() {
            outcome.sent_to_old_after += 1;
        }
    }

    /// Returns how a server answers, and after how many milliseconds.
    fn answer(&mut self, now: u64, server: usize, route: u64) -> (AttemptEvidence, u64) {
        let is_new = server >= OLD_SERVERS;
        let age = now.saturating_sub(ORDER_AT_MS);
        let (version, trouble) = (self.scenario.version, self.scenario.trouble);
        let mut failing_share: f64 = match version {
            NewVersion::Errors => 0.5,
            NewVersion::UnderLoad if self.busy[server] > 1 => 0.5,
            NewVersion::OneRoute if route == 2 => 0.5,
            NewVersion::Late if age >= 3_000 => 0.5,
            _ => 0.0,
        };
        let mut work_ms = WORK_MS * self.random.random_range(0.7..1.6);
        if is_new {
            if version == NewVersion::Slow {
                work_ms *= 6.0;
            }
            if trouble == Trouble::ColdServers && age < 3_000 {
                work_ms *= 1.6;
            }
            if trouble == Trouble::GreyServer && server == OLD_SERVERS {
                failing_share = 0.5;
            }
        } else {
            failing_share = 0.0;
        }
        if trouble == Trouble::RouteFails && route == 2 {
            failing_share = failing_share.max(0.14);
        }
        let ends = trouble == Trouble::ServerEnds
            && (FAULT_AT_MS..FAULT_AT_MS + 1_000).contains(&now)
            && server == OLD_SERVERS;
        let evidence = if ends {
            AttemptEvidence::Broken
        } else {
            AttemptEvidence::Answered {
                is_failure: self.random.random_bool(failing_share),
                latency: Duration::from_micros((work_ms * 1_000.0) as u64),
            }
        };
        (evidence, (work_ms as u64).max(STEP_MS))
    }

    /// Lets the hosts read their evidence; the first one that runs leads.
    fn decide(&mut self, now: u64) {
        if !now.is_multiple_of(100) {
            return;
        }
        let peers = self.hosts.len() - 1;
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let decisions = &mut host.decisions;
            let (rollouts, registry) = (&mut decisions.rollouts, &decisions.registry);
            rollouts.update(at(now), registry, &[SERVICE]);
            if rollouts.stage(SERVICE) == Some(RolloutStage::RolledBack) {
                self.outcome.stopped_at[number].get_or_insert(now);
            }
            if number > 0 {
                continue;
            }
            for status in rollouts.lead(at(now), peers) {
                let is_new = self.outcome.completed_at.is_none();
                if status.stage == RolloutStage::Completed && is_new {
                    self.outcome.completed_at = Some(now);
                    let calls = self.calls.values().flatten();
                    self.outcome.open_at_old = calls.filter(|call| !call.is_new).count();
                }
                if status.stage.is_final() {
                    let number = status.order.number;
                    rollouts.record_verdict(at(now), SERVICE, number, status.stage);
                }
            }
        }
    }
}

fn pick(
    decisions: &teaselglade_host::state::DecisionState,
    choice: &VersionChoice,
    random: &mut Pcg32,
) -> Option<ServerKey> {
    let servers = decisions.registry.of_service(SERVICE);
    let scope = choice.scope();
    let allowed = servers.filter(|(key, server)| scope.allows(*key, server));
    let allowed: Vec<ServerKey> = allowed.map(|(key, _)| key).collect();
    (!allowed.is_empty()).then(|| allowed[random.random_range(0..allowed.len())])
}

fn host_counts() -> Vec<usize> {
    let listed = env::var("ROLLOUT_HOSTS").unwrap_or_else(|_unset| "7,24".to_owned());
    let counts = listed.split(',').map(str::parse);
    counts.collect::<Result<_, _>>().expect("numbers of hosts")
}

fn seeds(usual: u64) -> u64 {
    let listed = env::var("ROLLOUT_SEEDS").ok();
    listed.map_or(usual, |count| count.parse().expect("a number of seeds"))
}

fn check_bad(scenario: Scenario) -> StopTimes {
    let outcome = RolloutFleet::new(scenario).run();
    assert!(
        outcome
            .stages
            .iter()
            .all(|stage| *stage == RolloutStage::RolledBack),
        "{scenario:?}: {outcome:?}"
    );
    let bound = outcome.requests as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
    assert!(outcome.exposed as f64 <= bound, "{scenario:?}: {outcome:?}");
    let fiftieth = outcome.bad_answers_at.get(ROLLBACK_ANSWERS - 1);
    let late_ms = fiftieth.map_or(0, |at| outcome.last_exposed_at.saturating_sub(*at));
    assert!(late_ms <= ROLLBACK_MS, "{scenario:?}: {outcome:?}");
    let stops = || outcome.stopped_at.iter().flatten();
    StopTimes {
        late_ms,
        spread_ms: stops().max().unwrap_or(&0) - stops().min().unwrap_or(&0),
        bad_answers: outcome.bad_answers_at.len(),
    }
}

#[test]
fn a_bad_version_is_rolled_back_by_all_hosts_within_the_bounds() {
    for hosts in host_counts() {
        for fault in [LinkFault::None, LinkFault::ZoneCut, LinkFault::Lossy] {
            let mut slowest = StopTimes::default();
            for version in BAD_VERSIONS {
                for seed in 0..seeds(2) {
                    let scenario = Scenario {
                        hosts,
                        version,
                        trouble: Trouble::None,
                        fault,
                        seed,
                    };
                    slowest = slowest.max(check_bad(scenario));
                }
            }
            println!("{hosts} hosts, {fault:?}: {slowest:?}");
        }
    }
}

/// The part of the large fleets for which there is always time.
#[test]
fn a_bad_version_is_rolled_back_by_all_hosts_of_a_large_fleet() {
    for (hosts, fault) in [
        (86, LinkFault::ZoneCut),
        (86, LinkFault::Lossy),
        (195, LinkFault::ZoneCut),
    ] {
        check_bad(Scenario {
            hosts,
            version: NewVersion::Errors,
            trouble: Trouble::None,
            fault,
            seed: 0,
        });
    }
}

#[test]
fn a_good_version_is_completed_in_time_and_never_rolled_back() {
    for trouble in TROUBLES {
        for seed in 0..seeds(200).div_ceil(TROUBLES.len() as u64) {
            let scenario = Scenario {
                hosts: 7,
                version: NewVersion::Good,
                trouble,
                fault: LinkFault::None,
                seed,
            };
            let outcome = RolloutFleet::new(scenario).run();
            let completed_at = outcome.completed_at.unwrap_or(u64::MAX);
            assert!(
                completed_at <= ORDER_AT_MS + OVER_MS,
                "{scenario:?}: {outcome:?}"
            );
            assert_eq!(outcome.open_at_old, 0, "{scenario:?}: {outcome:?}");
            assert_eq!(outcome.sent_to_old_after, 0, "{scenario:?}: {outcome:?}");
        }
    }
}

#[test]
fn a_good_version_is_completed_in_a_large_fleet_and_beside_lost_datagrams() {
    for hosts in host_counts() {
        for fault in [LinkFault::None, LinkFault::ZoneCut, LinkFault::Lossy] {
            let scenario = Scenario {
                hosts,
                version: NewVersion::Good,
                trouble: Trouble::None,
                fault,
                seed: 1,
            };
            let outcome = RolloutFleet::new(scenario).run();
            let completed_at = outcome.completed_at.unwrap_or(u64::MAX);
            assert!(
                completed_at <= ORDER_AT_MS + OVER_MS,
                "{scenario:?}: {outcome:?}"
            );
            assert_eq!(outcome.open_at_old, 0, "{scenario:?}: {outcome:?}");
            assert_eq!(outcome.sent_to_old_after, 0, "{scenario:?}: {outcome:?}");
        }
    }
}
