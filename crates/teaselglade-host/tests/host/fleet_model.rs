//! Hosts of a fleet on virtual time: real decision states that exchange real digests.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_host::settings::{DutySettings, HostSettings, ListenAddresses, LogSettings};
use teaselglade_host::state::DecisionState;
use teaselglade_routing::crash::SubjectEvidence;
use teaselglade_routing::engine::{EngineLoad, ToldLoads};
use teaselglade_routing::gossip::{
    AggregateDigest, CandidateHost, HostDigest, PeerAddress, PeerMessage, ServerNews,
};
use teaselglade_routing::limit::LimitReport;
use teaselglade_routing::registry::UpdateScope;
use teaselglade_routing::rollout::{RolloutBounds, RolloutReport};
use teaselglade_routing::zone::ZonePrices;

pub const ZONES: [&str; 4] = ["ennis", "galway", "limerick", "sligo"];
pub const STEP_MS: u64 = 10;
pub const MESSAGE_MS: u64 = 30;
const DIGEST_MS: u64 = 200;
const AGGREGATE_MS: u64 = 400;
/// Time over which an aggregate is sent.
const AGGREGATE_SPREAD_MS: u64 = 320;

/// Returns a time of the model, whose clock starts at an hour.
pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + millis)
}

/// Digest of a host or an aggregator.
#[derive(Debug, Clone)]
pub enum ModelDigest {
    Host(Box<HostDigest>),
    Aggregate(Box<AggregateDigest>),
    Parts(Vec<SubjectEvidence>),
    Limits(LimitReport),
    Rollouts(RolloutReport),
    News(ServerNews),
    Loads(Vec<EngineLoad>),
}

impl ModelDigest {
    /// Returns the size of the datagram that carries it.
    pub fn encoded_len(&self) -> usize {
        let message = match self.clone() {
            Self::Host(digest) => PeerMessage::Host(digest),
            Self::Aggregate(digest) => PeerMessage::Aggregate(digest),
            Self::Parts(evidence) => PeerMessage::Crashes(evidence),
            Self::Limits(report) => PeerMessage::Limits(report),
            Self::Rollouts(report) => PeerMessage::Rollouts(report),
            Self::News(news) => PeerMessage::News(news),
            Self::Loads(loads) => PeerMessage::Loads(loads),
        };
        rmp_serde::to_vec(&message).expect("a message").len()
    }
}

/// Digest with the number of its receiver and its time of arrival, in milliseconds.
#[derive(Debug)]
pub struct SentDigest {
    pub to: usize,
    pub arrives_at: u64,
    pub digest: ModelDigest,
}

/// Host of a fleet on virtual time.
#[derive(Debug)]
pub struct ModelHost {
    pub decisions: DecisionState,
    pub zone: &'static str,
    /// Loads that the host reports beside those of its decisions.
    pub placed_loads: Vec<EngineLoad>,
    number: usize,
    started_at_us: u64,
    sequence: u64,
}

impl ModelHost {
    pub fn new(number: usize, seed: u64) -> Self {
        let mut host = Self::unread(number, seed);
        host.decisions.record_store_response(at(0));
        host
    }

    /// Creates a host that has not read the store yet.
    pub fn unread(number: usize, seed: u64) -> Self {
        Self {
            decisions: DecisionState::new(&settings(number), seed + number as u64),
            zone: ZONES[number % ZONES.len()],
            placed_loads: Vec::new(),
            number,
            started_at_us: 1,
            sequence: 1,
        }
    }

    /// Replaces the host by a later incarnation of it that knows nothing.
    pub fn restart(&mut self, now: u64, seed: u64) {
        *self = Self {
            started_at_us: 1 + now,
            ..Self::new(self.number, seed)
        };
    }

    /// Returns the digests that are due now, with their receivers.
    pub fn due_digests(&mut self, now: u64) -> Vec<SentDigest> {
        let offset = self.number as u64 * STEP_MS;
        if !(now + offset).is_multiple_of(DIGEST_MS) {
            return Vec::new();
        }
        let (digest, news, targets) = self.parted_digest(now);
        let limits = self
            .decisions
            .limit_report(at(now), self.started_at_us, self.sequence);
        let rollouts = self
            .decisions
            .rollouts
            .report(at(now), self.started_at_us, self.sequence);
        let mut due = Vec::new();
        for target in targets {
            let mut post = |digest| {
                due.push(SentDigest {
                    to: host_of(target),
                    arrives_at: now + MESSAGE_MS,
                    digest,
                });
            };
            for part in &news {
                post(ModelDigest::News(part.clone()));
            }
            post(ModelDigest::Host(Box::new(digest.clone())));
            if !limits.is_empty() {
                post(ModelDigest::Limits(limits.clone()));
            }
            if !rollouts.is_empty() {
                post(ModelDigest::Rollouts(rollouts.clone()));
            }
        }
        let is_aggregator = self.decisions.membership.is_aggregator(at(now));
        if is_aggregator && (now + offset).is_multiple_of(AGGREGATE_MS) {
            let served = self.decisions.membership.served_peers(at(now));
            let (aggregate, loads) = self.aggregate(now);
            let number = self.sequence / 2;
            // The model sends what the aggregator knows now.
            let news = self.decisions.aggregate_parts(at(now), number);
            let count = served.len() as u64;
            for (number, target) in (0..).zip(served) {
                let sent_at = now + AGGREGATE_SPREAD_MS * number / count;
                let mut post = |digest| {
                    due.push(SentDigest {
                        to: host_of(target),
                        arrives_at: sent_at + MESSAGE_MS,
                        digest,
                    });
                };
                for part in &news {
                    post(ModelDigest::News(part.clone()));
                }
                post(ModelDigest::Aggregate(Box::new(aggregate.clone())));
                if let Some(loads) = loads.as_ref().filter(|_| news.len() <= 4) {
                    post(ModelDigest::Loads(loads.clone()));
                }
                // The model sends what the aggregator knows now, with the ages of the time of sending.
                let ledger = &self.decisions.crash_ledger;
                let evidence = ledger.evidence(at(now), UpdateScope::All);
                let evidence = evidence.into_iter().map(|part| aged(part, sent_at - now));
                post(ModelDigest::Parts(evidence.collect()));
                let number = self.sequence / 2;
                let mut limits = self.decisions.limit_aggregate(at(now), number);
                for notice in &mut limits.notices {
                    notice.sent_age_ms += sent_at - now;
                    notice.named_age_ms += sent_at - now;
                }
                if !limits.is_empty() {
                    post(ModelDigest::Limits(limits));
                }
                let rollouts = self.decisions.rollouts.aggregate(at(now), number);
                if !rollouts.is_empty() {
                    post(ModelDigest::Rollouts(rollouts));
                }
            }
        }
        due
    }

    /// Builds the host's digest as the transport does, with its targets.
    pub fn digest(&mut self, now: u64) -> (HostDigest, Vec<SocketAddr>) {
        let (digest, _, targets) = self.parted_digest(now);
        (digest, targets)
    }

    /// Builds the host's digest, and the news to send before it.
    fn parted_digest(&mut self, now: u64) -> (HostDigest, Vec<ServerNews>, Vec<SocketAddr>) {
        let time = at(now);
        self.sequence += 1;
        let decisions = &mut self.decisions;
        for name in decisions.membership.expire(time) {
            decisions.remove_peer(&name);
        }
        decisions.confirm_responses(time);
        decisions.crash_ledger.prune(time);
        decisions.prune_limits(time);
        let scope = decisions.update_scope(time);
        let (news, parts) = decisions.host_news(time, self.sequence);
        let last_aggregate_at = decisions.quotas.last_aggregate_at();
        let requested_aggregator = decisions
            .membership
            .choose_aggregator(time, last_aggregate_at);
        let digest = HostDigest {
            host: own_address(self.number),
            started_at_us: self.started_at_us,
            sequence: self.sequence,
            table_version: 1,
            store_reachable: decisions.store_reachable(),
            is_leader: false,
            update_age_ms: news.update_age_ms,
            updates: news.updates,
            spend: HashMap::default(),
            loads: {
                let own = decisions.engine_placer.own_loads(&decisions.registry);
                own.into_iter().chain(self.placed_loads.clone()).collect()
            },
            cached_parts: Vec::new(),
            demand: Vec::new(),
            usage: Vec::new(),
            decided_reports: Vec::new(),
            departures: news.departures,
            requested_aggregator,
            peers: Vec::new(),
            zone: self.zone.to_owned(),
            crash_evidence: decisions.crash_ledger.evidence(time, scope),
        };
        (digest, parts, decisions.membership.gossip_targets(time))
    }

    fn aggregate(&mut self, now: u64) -> (AggregateDigest, Option<Vec<EngineLoad>>) {
        let time = at(now);
        let decisions = &mut self.decisions;
        let own = CandidateHost {
            host: own_address(self.number),
            started_at_us: self.started_at_us,
            last_seen_ms: 0,
            store_reachable: decisions.store_reachable(),
            is_leader: false,
            zone: self.zone.to_owned(),
        };
        let news = decisions.aggregate_news(time, self.sequence / 2);
        let (loads, turn) = match decisions.engine_placer.tell_loads(&decisions.registry) {
            ToldLoads::All(loads) => (loads, None),
            ToldLoads::Some(loads) => (Vec::new(), Some(loads)),
        };
        let aggregate = AggregateDigest {
            sender: own.host.clone(),
            candidates: decisions.membership.candidates(time, own),
            table_version: 1,
            seen_share: decisions.membership.seen_share(time),
            update_age_ms: news.update_age_ms,
            updates: news.updates,
            departures: news.departures,
            loads,
            cached_parts: Vec::new(),
            spend: HashMap::default(),
        };
        (aggregate, turn)
    }

    /// Applies a digest as the transport does.
    pub fn receive(&mut self, now: u64, digest: ModelDigest) {
        let time = at(now);
        let decisions = &mut self.decisions;
        match digest {
            ModelDigest::Host(digest) => {
                if !decisions.membership.record_digest(time, &digest) {
                    return;
                }
                let age = Duration::from_millis(digest.update_age_ms);
                decisions.merge_server_updates(time, age, digest.updates, &digest.departures);
                decisions.crash_ledger.merge(time, &digest.crash_evidence);
                decisions.engine_placer.merge_peer_state(
                    time,
                    &decisions.registry,
                    &digest.host.name,
                    &digest.loads,
                    &[],
                );
            }
            ModelDigest::Parts(evidence) => decisions.crash_ledger.merge(time, &evidence),
            ModelDigest::Limits(report) => {
                decisions.merge_limits(time, &report);
            }
            ModelDigest::Rollouts(report) => decisions.merge_rollouts(time, report),
            ModelDigest::News(news) => decisions.merge_news(time, news),
            ModelDigest::Loads(loads) => {
                if !decisions.membership.is_aggregator(time) {
                    let registry = &decisions.registry;
                    let placer = &mut decisions.engine_placer;
                    placer.apply_load_turn(time, registry, &loads);
                }
            }
            ModelDigest::Aggregate(digest) => {
                for candidate in &digest.candidates {
                    decisions.membership.record_candidate(time, candidate);
                }
                let age = Duration::from_millis(digest.update_age_ms);
                decisions.merge_server_updates(time, age, digest.updates, &digest.departures);
                if !decisions.membership.is_aggregator(time)
                    && decisions
                        .quotas
                        .apply_aggregate(time, digest.spend, digest.seen_share)
                {
                    decisions.engine_placer.apply_aggregate(
                        time,
                        &decisions.registry,
                        &digest.loads,
                    );
                }
            }
        }
    }
}

/// Lets all hosts know each other.
pub fn introduce(hosts: &mut [ModelHost]) {
    let digests: Vec<HostDigest> = hosts.iter_mut().map(|host| host.digest(0).0).collect();
    for host in hosts {
        for digest in &digests {
            host.decisions.membership.record_digest(at(0), digest);
        }
    }
}

/// Returns evidence whose ages have grown.
fn aged(mut part: SubjectEvidence, elapsed_ms: u64) -> SubjectEvidence {
    part.request_age_ms += elapsed_ms;
    for end in &mut part.ends {
        end.age_ms += elapsed_ms;
    }
    part
}

fn own_address(host: usize) -> PeerAddress {
    PeerAddress {
        name: host_name(host),
        address: peer_address(host),
    }
}

fn peer_address(host: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + host as u32), 7_600))
}

pub fn host_of(address: SocketAddr) -> usize {
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
        rollouts: Some(RolloutBounds {
            exposure_share: 0.1,
            exposure_slack: 50.0,
        }),
        zone_prices: ZonePrices::default(),
        log: LogSettings::default(),
    }
}
