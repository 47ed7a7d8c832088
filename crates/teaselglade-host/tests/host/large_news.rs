//! Departures reach every host of a large fleet with a thousand busy engines in time.
//!
//! Hosts are real decision states on virtual time. Datagrams have their encoded size: those that
//! are longer than a receiver reads, or than fits their sender's link, are lost, others at random.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_routing::engine::EngineLoad;
use teaselglade_routing::gossip::name_hash;
use teaselglade_routing::registry::{RegistrationState, ServerRegistration, StorePosition};

use super::fleet_model::{MESSAGE_MS, ModelDigest, ModelHost, STEP_MS, ZONES, at, introduce};

const READ_INTERVAL_MS: u64 = 300;
const READ_MS: u64 = 50;
/// Time of a host's own read of all registrations over a narrow link, beside others' reads.
const OWN_READ_MS: u64 = 1_000;
/// Longest datagram that a host reads.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Bytes that a link of 10 Mbit/s carries in [`LINK_WINDOW_MS`].
const LINK_BYTES: usize = 125_000;
const LINK_WINDOW_MS: u64 = 100;
/// Time in which every host has to know of a departure, as the sites of this size specify.
const DRAIN_MS: u64 = 3_000;
const DEPARTS_AT_MS: u64 = 2_000;

struct LargeFleet {
    hosts: Vec<ModelHost>,
    /// Position of the next change that each host reads in the store.
    next_changes: Vec<usize>,
    next_reads: Vec<u64>,
    /// Departures in the order in which the store took them, with their times.
    departures: Vec<(u64, ServerRegistration)>,
    mail: BTreeMap<u64, Vec<(usize, Mail)>>,
    random: Pcg32,
    loss: f64,
    /// Bytes that each host sent in the present window of its link.
    window_bytes: HashMap<(usize, u64), usize>,
    sent_bytes: Vec<usize>,
    /// Longest datagram of any host.
    longest: usize,
    /// Whether the store answers hosts that others should have told.
    tells_all: bool,
    /// Reads of such hosts.
    own_reads: usize,
}

enum Mail {
    Digest(ModelDigest),
    /// Number of changes in the store at the time of the read.
    Read(usize),
}

fn registration(server: usize, is_draining: bool) -> ServerRegistration {
    ServerRegistration {
        id: format!("i-{server:010x}"),
        started_at_ms: 1_790_000_000_000 + server as u64,
        heartbeat: if is_draining { 41 } else { 40 },
        service: "draft-fleet".to_owned(),
        address: "10.1.65.166:8464".parse().expect("an address"),
        zone: ZONES[server % ZONES.len()].to_owned(),
        slots: Some(64),
        state: if is_draining {
            RegistrationState::Draining
        } else {
            RegistrationState::Ready
        },
        reclaimable: true,
        version: "v1".to_owned(),
        position: StorePosition::of_record(1, server as u64 + if is_draining { 5_000 } else { 0 }),
    }
}

impl LargeFleet {
    fn new(count: usize, servers: usize, leaving: usize, loss: f64, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let known_since = at(0).before(Duration::from_secs(20));
        let hosts = (0..count).map(|number| {
            let mut host = ModelHost::new(number, seed);
            for server in 0..servers {
                let registry = &mut host.decisions.registry;
                registry.apply_registration(known_since, registration(server, false));
            }
            host
        });
        let mut hosts: Vec<ModelHost> = hosts.collect();
        introduce(&mut hosts);
        let mut departures: Vec<(u64, ServerRegistration)> = (0..leaving)
            .map(|server| {
                let departs_at = DEPARTS_AT_MS + random.random_range(0..1_000);
                (departs_at, registration(server * 3 % servers, true))
            })
            .collect();
        departures.sort_by_key(|(departs_at, _)| *departs_at);
        Self {
            next_changes: vec![0; count],
            next_reads: vec![0; count],
            hosts,
            departures,
            mail: BTreeMap::new(),
            random,
            loss,
            window_bytes: HashMap::new(),
            sent_bytes: vec![0; count],
            longest: 0,
            tells_all: false,
            own_reads: 0,
        }
    }

    /// Lets every engine run requests of one host, with new figures each time.
    fn place_loads(&mut self, servers: usize) {
        let count = self.hosts.len();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let own = (number..servers).step_by(count);
            let loads: Vec<EngineLoad> = own
                .map(|server| EngineLoad {
                    server: name_hash(&registration(server, false).id),
                    waiting_tokens: self.random.random_range(1..70_000),
                    requests: self.random.random_range(1..60),
                    memory_tokens: self.random.random_range(70_000..500_000),
                })
                .collect();
            host.placed_loads = loads;
        }
    }

    /// Returns whether a datagram arrives.
    fn carries(&mut self, sent_at: u64, from: usize, bytes: usize) -> bool {
        self.longest = self.longest.max(bytes);
        self.sent_bytes[from] += bytes;
        let window = self
            .window_bytes
            .entry((from, sent_at / LINK_WINDOW_MS))
            .or_default();
        *window += bytes;
        let fits = *window <= LINK_BYTES && bytes <= MAX_DATAGRAM_BYTES;
        fits && !self.random.random_bool(self.loss)
    }

    fn step(&mut self, now: u64) {
        for (to, mail) in self.mail.remove(&now).unwrap_or_default() {
            match mail {
                Mail::Digest(digest) => self.hosts[to].receive(now, digest),
                Mail::Read(end) => {
                    let decisions = &mut self.hosts[to].decisions;
                    for (_, registration) in &self.departures[self.next_changes[to]..end] {
                        let registry = &mut decisions.registry;
                        registry.apply_registration(at(now), registration.clone());
                    }
                    self.next_changes[to] = end;
                    decisions.record_store_response(at(now));
                    self.next_reads[to] = now + READ_INTERVAL_MS;
                }
            }
        }
        for host in 0..self.hosts.len() {
            let mut aggregate_bytes = None;
            for sent in self.hosts[host].due_digests(now) {
                let sent_at = sent.arrives_at - MESSAGE_MS;
                let bytes = match &sent.digest {
                    // All that are due at once are equal.
                    ModelDigest::Aggregate(_) => {
                        *aggregate_bytes.get_or_insert_with(|| sent.digest.encoded_len())
                    }
                    digest => digest.encoded_len(),
                };
                if self.carries(sent_at, host, bytes) {
                    let mail = self.mail.entry(sent.arrives_at / STEP_MS * STEP_MS);
                    let mail = mail.or_default();
                    mail.push((sent.to, Mail::Digest(sent.digest)));
                }
            }
            self.read(now, host);
        }
    }

    /// Starts a read of the store if the host reads it for the fleet, or itself has old news.
    fn read(&mut self, now: u64, host: usize) {
        if now < self.next_reads[host] {
            return;
        }
        let decisions = &self.hosts[host].decisions;
        let is_reader = decisions.membership.is_store_reader(at(now));
        if !(is_reader || self.tells_all && decisions.has_stale_news(at(now))) {
            self.next_reads[host] = now + READ_INTERVAL_MS;
            return;
        }
        self.next_reads[host] = u64::MAX;
        self.own_reads += usize::from(!is_reader);
        let read_ms = if is_reader { READ_MS } else { OWN_READ_MS };
        let end = self.departures.partition_point(|(at, _)| *at <= now);
        let mail = self.mail.entry(now + read_ms).or_default();
        mail.push((host, Mail::Read(end)));
    }

    /// Returns the longest time from a departure until every host knows of it.
    fn run(&mut self, servers: usize, until: u64) -> u64 {
        let mut waiting: Vec<(u64, String)> = self
            .departures
            .iter()
            .map(|(departs_at, registration)| (*departs_at, registration.id.clone()))
            .collect();
        let mut latest = 0;
        for now in (0..until).step_by(STEP_MS as usize) {
            if now % 200 == 0 {
                self.place_loads(servers);
            }
            self.step(now);
            let hosts = &self.hosts;
            waiting.retain(|(departs_at, id)| {
                let uses = |host: &ModelHost| {
                    let registry = &host.decisions.registry;
                    let key: Option<ServerKey> = registry.find(id);
                    key.is_some_and(|key| registry.takes_work(key))
                };
                let is_used = now < *departs_at || hosts.iter().any(uses);
                if !is_used {
                    latest = latest.max(now - departs_at);
                }
                is_used
            });
        }
        assert!(
            waiting.is_empty(),
            "{} departures are missed",
            waiting.len()
        );
        latest
    }
}

// `LARGE_NEWS_SEEDS=4 cargo test --release -p teaselglade-host --test host large_news` plays more.
fn latest_departure(leaving: usize, tells_all: bool) -> u64 {
    let seeds = std::env::var("LARGE_NEWS_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(1);
    let servers = 1_002;
    let run = |seed| {
        let mut fleet = LargeFleet::new(98, servers, leaving, 0.05, seed);
        fleet.tells_all = tells_all;
        let latest = fleet.run(servers, DEPARTS_AT_MS + 4_500);
        let most = fleet.sent_bytes.iter().max().expect("hosts");
        println!(
            "{leaving} leave: known after {latest} ms; longest datagram {} bytes; busiest host {} bytes a second; {} own reads",
            fleet.longest,
            *most as u64 * 1_000 / (DEPARTS_AT_MS + 4_500),
            fleet.own_reads
        );
        latest
    };
    (0..seeds).map(run).max().expect("a run")
}

#[test]
fn digests_tell_departures_in_time_beside_a_thousand_busy_engines() {
    for leaving in [1, 60] {
        // The store answers nobody but the readers, so that news arrives by digests or not at all.
        let latest = latest_departure(leaving, false);
        assert!(latest <= DRAIN_MS, "{leaving} leave: {latest} ms");
    }
}

#[test]
fn departures_of_a_third_of_a_thousand_engines_are_known_in_time() {
    let latest = latest_departure(300, true);
    assert!(latest <= DRAIN_MS, "{latest} ms");
}
