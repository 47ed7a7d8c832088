//! Hosts of a large fleet tell each other no servers that all of them list at their start.
//!
//! Hosts are real decision states on virtual time; messages have their encoded size.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_routing::registry::{
    RegistrationState, ServerListing, ServerRegistration, StorePosition,
};

use super::fleet_model::{ModelDigest, ModelHost, STEP_MS, ZONES, at, introduce};

const READ_INTERVAL_MS: u64 = 300;
const READ_MS: u64 = 50;
/// Time over which hosts start.
const START_MS: u64 = 2_000;
const END_MS: u64 = 8_000;
/// Time from which nothing changes any more.
const QUIET_MS: u64 = START_MS + 2_000;
/// Time in which every started host has to know a server that registered.
const KNOWN_MS: u64 = 3_000;

enum Mail {
    Digest(ModelDigest),
    Listing(u64),
    Changes(u64, u64),
}

/// Messages and bytes of each host: all that it sent, and news of servers among them.
#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
    told: u64,
    quiet_bytes: u64,
    quiet_parts: u64,
}

struct StartingFleet {
    hosts: Vec<ModelHost>,
    starts: Vec<u64>,
    /// Position in time up to which each host read the store, and its next read.
    read_until: Vec<u64>,
    next_reads: Vec<u64>,
    has_listed: Vec<bool>,
    /// Registrations with the times at which the store took them.
    store: Vec<(u64, ServerRegistration)>,
    mail: BTreeMap<u64, Vec<(usize, Mail)>>,
    sent: Vec<Sent>,
    reads: usize,
    random: Pcg32,
    loss: f64,
}

fn registration(server: u64) -> ServerRegistration {
    ServerRegistration {
        id: format!("i-{server:010x}"),
        started_at_ms: 1_790_000_000_000 + server,
        heartbeat: 40,
        service: "draft-fleet".to_owned(),
        address: "10.1.65.166:8464".parse().expect("an address"),
        zone: ZONES[server as usize % ZONES.len()].to_owned(),
        slots: Some(64),
        state: RegistrationState::Ready,
        reclaimable: true,
        version: "v1".to_owned(),
        position: StorePosition::of_record(1, server),
    }
}

impl StartingFleet {
    /// Creates hosts that start over two seconds, and servers of which some register meanwhile.
    fn new(count: usize, servers: u64, late: u64, loss: f64, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut hosts: Vec<ModelHost> = (0..count)
            .map(|number| ModelHost::unread(number, seed))
            .collect();
        introduce(&mut hosts);
        let starts: Vec<u64> = (0..count)
            .map(|_| random.random_range(0..START_MS) / STEP_MS * STEP_MS)
            .collect();
        let late = (0..late).map(|number| (1 + START_MS * number / late.max(1), servers + number));
        let early = (0..servers).map(|server| (0, server));
        Self {
            read_until: vec![0; count],
            next_reads: starts.clone(),
            has_listed: vec![false; count],
            starts,
            hosts,
            store: early
                .chain(late)
                .map(|(at, server)| (at, registration(server)))
                .collect(),
            mail: BTreeMap::new(),
            sent: vec![Sent::default(); count],
            reads: 0,
            random,
            loss,
        }
    }

    fn receive(&mut self, now: u64, to: usize, mail: Mail) {
        let until = match mail {
            Mail::Digest(digest) => return self.hosts[to].receive(now, digest),
            Mail::Listing(until) => {
                let listed = self.store.iter().filter(|(taken_at, _)| *taken_at <= until);
                let listed = listed.map(|(_, registration)| registration.clone());
                let registrations: Vec<ServerRegistration> = listed.collect();
                let listing = ServerListing {
                    requested_at: at(until),
                    end: StorePosition::of_record(1, registrations.len() as u64 - 1),
                    registrations,
                    unreadable: Vec::new(),
                };
                let registry = &mut self.hosts[to].decisions.registry;
                registry.apply_listing(at(now), listing);
                until
            }
            Mail::Changes(since, until) => {
                for (taken_at, registration) in &self.store {
                    if (since + 1..=until).contains(taken_at) {
                        let registry = &mut self.hosts[to].decisions.registry;
                        registry.apply_registration(at(now), registration.clone());
                    }
                }
                until
            }
        };
        self.hosts[to].decisions.record_store_response(at(now));
        self.read_until[to] = until;
        self.next_reads[to] = now + READ_INTERVAL_MS;
    }

    fn step(&mut self, now: u64) {
        for (to, mail) in self.mail.remove(&now).unwrap_or_default() {
            if now >= self.starts[to] {
                self.receive(now, to, mail);
            }
        }
        for host in 0..self.hosts.len() {
            if now < self.starts[host] {
                continue;
            }
            for sent in self.hosts[host].due_digests(now) {
                let told = match &sent.digest {
                    ModelDigest::News(news) => news.updates.len(),
                    ModelDigest::Host(digest) => digest.updates.len(),
                    ModelDigest::Aggregate(digest) => digest.updates.len(),
                    _ => 0,
                };
                let bytes = sent.digest.encoded_len() as u64;
                let count = &mut self.sent[host];
                count.messages += 1;
                count.bytes += bytes;
                count.told += told as u64;
                if now >= QUIET_MS {
                    count.quiet_bytes += bytes;
                    count.quiet_parts += u64::from(matches!(sent.digest, ModelDigest::News(_)));
                }
                if !self.random.random_bool(self.loss) {
                    let mail = self.mail.entry(sent.arrives_at / STEP_MS * STEP_MS);
                    let mail = mail.or_default();
                    mail.push((sent.to, Mail::Digest(sent.digest)));
                }
            }
            self.read(now, host);
        }
    }

    /// Starts the first listing, or a read of changes if the host reads the store for the fleet or
    /// has old news.
    fn read(&mut self, now: u64, host: usize) {
        if now < self.next_reads[host] {
            return;
        }
        let decisions = &self.hosts[host].decisions;
        let mail = if !self.has_listed[host] {
            Mail::Listing(now)
        } else if decisions.membership.is_store_reader(at(now)) || decisions.has_stale_news(at(now))
        {
            Mail::Changes(self.read_until[host], now)
        } else {
            self.next_reads[host] = now + READ_INTERVAL_MS;
            return;
        };
        self.reads += 1;
        self.has_listed[host] = true;
        self.next_reads[host] = u64::MAX;
        let due = self.mail.entry(now + READ_MS).or_default();
        due.push((host, mail));
    }

    /// Plays the start; returns the longest time until a late server is known to a started host.
    fn run(&mut self) -> u64 {
        let late: Vec<(u64, String)> = self
            .store
            .iter()
            .filter(|(taken_at, _)| *taken_at > 0)
            .map(|(taken_at, registration)| (*taken_at, registration.id.clone()))
            .collect();
        let pairs = late
            .iter()
            .flat_map(|late| (0..self.hosts.len()).map(move |host| (host, late)));
        let mut waiting: Vec<(usize, u64, &str)> = pairs
            .map(|(host, (taken_at, id))| (host, self.starts[host].max(*taken_at), id.as_str()))
            .collect();
        let mut latest = 0;
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.step(now);
            let hosts = &self.hosts;
            waiting.retain(|(host, since, id)| {
                let is_unknown = hosts[*host].decisions.registry.find(id).is_none();
                if !is_unknown {
                    latest = latest.max(now.saturating_sub(*since));
                }
                is_unknown
            });
        }
        let is_whole = |host: &ModelHost| {
            let registry = &host.decisions.registry;
            registry.of_service("draft-fleet").count() == self.store.len()
        };
        assert!(self.hosts.iter().all(is_whole), "servers are missing");
        assert!(waiting.is_empty(), "{} are never known", waiting.len());
        let most = |count: fn(&Sent) -> u64| self.sent.iter().map(count).max().unwrap_or(0);
        println!(
            "{} hosts, {} servers, {} late: known after {latest} ms; busiest: {} messages, {} bytes, \
             {} registrations told; quiet {} bytes, {} parts; {} reads",
            self.hosts.len(),
            self.store.len(),
            late.len(),
            most(|sent| sent.messages),
            most(|sent| sent.bytes),
            most(|sent| sent.told),
            most(|sent| sent.quiet_bytes),
            most(|sent| sent.quiet_parts),
            self.reads,
        );
        latest
    }
}

#[test]
fn what_hosts_send_at_their_start_does_not_grow_with_the_servers() {
    for hosts in [80, 98, 200] {
        let sent = [60, 1_002].map(|servers| {
            let mut fleet = StartingFleet::new(hosts, servers, 0, 0.0, 1);
            fleet.run();
            fleet.sent
        });
        for (few, many) in sent[0].iter().zip(&sent[1]) {
            assert_eq!((few.told, many.told), (0, 0), "{hosts} hosts");
            assert_eq!(few.messages, many.messages, "{hosts} hosts");
            assert_eq!((few.quiet_parts, many.quiet_parts), (0, 0));
            // Ages in digests are encoded in one to nine bytes.
            let slack = 8 * few.messages;
            assert!(many.bytes <= few.bytes + slack, "{few:?} {many:?}");
            assert!(many.quiet_bytes <= few.quiet_bytes + slack);
        }
    }
}

#[test]
fn servers_that_register_while_hosts_start_reach_all_hosts() {
    for seed in 1..=4 {
        for (hosts, servers) in [(98, 1_002), (80, 140), (24, 60)] {
            let mut fleet = StartingFleet::new(hosts, servers, 20, 0.05, seed);
            let latest = fleet.run();
            assert!(
                latest <= KNOWN_MS,
                "{hosts} hosts, seed {seed}: {latest} ms"
            );
        }
    }
}
