//! Sends and takes digests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::gossip::{
    AggregateDigest, CandidateHost, HostDigest, PeerMessage, ServiceDemand,
};
use teaselglade_routing::registry::UpdateScope;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use tracing::{debug, info, warn};

use crate::state::HostState;

/// Time between two digests of a host.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Own digests of a collector for each digest of the fleet.
const FLEET_TURN: u64 = 2;
/// Digests of a host in a large fleet for each one that names other hosts.
const NAMED_TURN: u64 = 5;
/// Part of a collector's interval over which its digests are spread, so that none finds a full link.
const SPREAD_SHARE: f64 = 0.8;
/// Largest digest that is taken.
const MAX_DIGEST_BYTES: usize = 60 * 1024;

/// Sends and takes digests over UDP.
#[derive(Debug)]
pub struct DigestExchange {
    host: Arc<HostState>,
    socket: UdpSocket,
    /// Peers that have a newer table.
    newer: UnboundedSender<SocketAddr>,
    number: u64,
    /// The fleet's digest on its way to the hosts that this one serves.
    round: FleetRound,
}

/// The fleet's digest on its way to the hosts that a collector serves, one after the other.
#[derive(Debug)]
struct FleetRound {
    bytes: Vec<u8>,
    left: Vec<SocketAddr>,
    next_at: Instant,
    pause: Duration,
}

impl DigestExchange {
    /// Binds the address for peers.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn bind(
        host: Arc<HostState>,
        newer: UnboundedSender<SocketAddr>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(host.settings.listen.peers).await?;
        let port = host.settings.listen.peers.port();
        let seeds = host.settings.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
        let own = host.settings.listen.peers;
        host.decide()
            .roster
            .add_seeds(seeds.filter(|seed| *seed != own));
        Ok(Self {
            host,
            socket,
            newer,
            number: 0,
            round: FleetRound {
                bytes: Vec::new(),
                left: Vec::new(),
                next_at: Instant::now(),
                pause: Duration::ZERO,
            },
        })
    }

    /// Sends and takes digests for the life of the host.
    pub async fn run(mut self) {
        let mut ticks = interval(DIGEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DIGEST_BYTES];
        loop {
            tokio::select! {
                _tick = ticks.tick() => self.send().await,
                () = sleep_until(self.round.next_at), if !self.round.left.is_empty() => {
                    self.send_next().await;
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, sender)) => self.take(&buffer[..length], sender),
                    // A peer that is down makes later calls fail; the others still send.
                    Err(error) => debug!(event = "digest_receive_failed", error = %error),
                },
            }
        }
    }

    async fn send(&mut self) {
        let (digest, targets) = self.digest();
        let bytes = encode(&PeerMessage::Host(Box::new(digest)));
        for target in targets {
            self.send_to(&bytes, target).await;
        }
        if self.number.is_multiple_of(FLEET_TURN) {
            self.begin_round();
        }
    }

    /// Begins to tell the hosts that this one serves what all hosts said.
    fn begin_round(&mut self) {
        let now = self.host.now();
        let served = self.host.decide().roster.served_peers(now);
        if served.is_empty() {
            return;
        }
        let span = DIGEST_INTERVAL.mul_f64(FLEET_TURN as f64 * SPREAD_SHARE);
        self.round = FleetRound {
            bytes: encode(&PeerMessage::Aggregate(Box::new(self.fleet_digest()))),
            pause: span / served.len() as u32,
            left: served,
            next_at: Instant::now(),
        };
    }

    async fn send_next(&mut self) {
        let Some(target) = self.round.left.pop() else {
            return;
        };
        self.round.next_at += self.round.pause;
        self.send_to(&self.round.bytes, target).await;
    }

    async fn send_to(&self, bytes: &[u8], target: SocketAddr) {
        let sent = self.socket.send_to(bytes, target).await;
        let direction = if sent.is_ok() { "sent" } else { "send_failed" };
        let metrics = &self.host.metrics;
        metrics.digests.with_label_values(&[direction]).inc();
        let sent_bytes = metrics.digest_bytes.with_label_values(&[direction]);
        sent_bytes.inc_by(bytes.len() as u64);
    }

    fn digest(&mut self) -> (HostDigest, Vec<SocketAddr>) {
        self.number += 1;
        let host = &self.host;
        let (now, wall) = (host.now(), HostState::wall());
        let table = host.table_version();
        let mut decisions = host.decide();
        for name in decisions.roster.expire(now) {
            decisions.forget_peer(&name);
            info!(event = "peer_gone", peer = name);
        }
        decisions.engines.prune(now);
        let known = decisions.roster.peer_count() as u32;
        if known > 0 {
            decisions.quotas.set_fleet_size(known + 1);
        }
        if decisions.roster.is_aggregator(now) {
            decisions.quotas.start_aggregating();
            decisions.engines.stop_applying_aggregate();
        }
        let demand = decisions.engines.demand(now).into_iter();
        let demand = demand.map(|(service, tokens)| ServiceDemand {
            service,
            tokens_per_second: tokens,
        });
        let demand = demand.collect();
        let scope = decisions.news_scope(now);
        let turn = decisions.roster.is_large().then_some(self.number);
        let told_at = decisions.quotas.last_aggregate_at();
        let asks = decisions.roster.choose_aggregator(now, told_at);
        let names_peers = turn.is_none_or(|turn| turn.is_multiple_of(NAMED_TURN));
        let peers = if names_peers {
            decisions.roster.sample_peers()
        } else {
            Vec::new()
        };
        let digest = HostDigest {
            host: host.own_address(),
            started_at_us: host.start,
            sequence: self.number,
            table_version: table,
            store_reachable: decisions.reads_store(),
            is_leader: decisions.roster.is_leader(),
            update_age_ms: now.since(decisions.news_at).as_millis() as u64,
            updates: decisions.fleet.updates(now, scope),
            spend: decisions.quotas.report(now),
            loads: decisions.engines.own_loads(&decisions.fleet),
            cached_parts: decisions.engines.recent_parts(now),
            demand,
            usage: decisions.usage.recent_counts(wall),
            departures: decisions.fleet.departures(now, scope, turn),
            requested_aggregator: asks,
            peers,
        };
        let targets = decisions.roster.gossip_targets(now);
        (digest, targets)
    }

    /// Adds up what this collector heard, for the hosts that it serves.
    fn fleet_digest(&self) -> AggregateDigest {
        let host = &self.host;
        let now = host.now();
        let table = host.table_version();
        let sender = host.own_address();
        let mut guard = host.decide();
        let decisions = &mut *guard;
        let own = CandidateHost {
            host: sender.clone(),
            started_at_us: host.start,
            last_seen_ms: 0,
            store_reachable: decisions.reads_store(),
            is_leader: decisions.roster.is_leader(),
        };
        let turn = Some(self.number / FLEET_TURN);
        AggregateDigest {
            candidates: decisions.roster.candidates(now, own),
            table_version: table,
            sender,
            seen_share: decisions.roster.seen_share(now),
            update_age_ms: now.since(decisions.news_at).as_millis() as u64,
            updates: decisions.fleet.updates(now, UpdateScope::All),
            departures: decisions.fleet.departures(now, UpdateScope::All, turn),
            loads: decisions.engines.total_loads(&decisions.fleet),
            cached_parts: decisions.engines.take_unsent_parts(now, &decisions.fleet),
            spend: decisions.quotas.fleet_spend(now),
        }
    }

    fn take(&self, bytes: &[u8], sender: SocketAddr) {
        let digests = &self.host.metrics.digests;
        let message: PeerMessage = match rmp_serde::from_slice(bytes) {
            Ok(message) => message,
            Err(error) => {
                digests.with_label_values(&["unreadable"]).inc();
                debug!(event = "digest_unreadable", sender = %sender, error = %error);
                return;
            }
        };
        digests.with_label_values(&["received"]).inc();
        let received_bytes = self
            .host
            .metrics
            .digest_bytes
            .with_label_values(&["received"]);
        received_bytes.inc_by(bytes.len() as u64);
        match message {
            PeerMessage::Host(digest) => self.apply(*digest),
            PeerMessage::Aggregate(digest) => self.apply_fleet(*digest),
        }
    }

    fn apply_fleet(&self, digest: AggregateDigest) {
        let host = &self.host;
        let now = host.now();
        let mut guard = host.decide();
        let decisions = &mut *guard;
        for leader in &digest.candidates {
            decisions.roster.record_candidate(now, leader);
        }
        let age = Duration::from_millis(digest.update_age_ms);
        decisions.hear_servers(now, age, digest.updates, &digest.departures);
        // A collector hears all hosts itself.
        if !decisions.roster.is_aggregator(now) {
            let (spend, placed) = (digest.spend, &digest.cached_parts);
            decisions
                .engines
                .merge_cached_parts(now, &decisions.fleet, placed);
            if decisions
                .quotas
                .apply_aggregate(now, spend, digest.seen_share)
            {
                let loads = &digest.loads;
                decisions
                    .engines
                    .apply_aggregate(now, &decisions.fleet, loads);
            }
        }
        drop(guard);
        if digest.table_version > host.table_version() {
            // The receiver ends only with the host.
            let _stopped = self.newer.send(digest.sender.address);
        }
    }

    fn apply(&self, digest: HostDigest) {
        let host = &self.host;
        let (now, wall) = (host.now(), HostState::wall());
        let name = digest.host.name.clone();
        let mut guard = host.decide();
        let decisions = &mut *guard;
        if !decisions.roster.record_digest(now, &digest) {
            return;
        }
        for peer in &digest.peers {
            decisions.roster.add_peer(now, peer);
        }
        let age = Duration::from_millis(digest.update_age_ms);
        decisions.hear_servers(now, age, digest.updates, &digest.departures);
        decisions
            .quotas
            .receive_spend(now, &name, digest.started_at_us, digest.spend);
        let (loads, placed) = (&digest.loads, &digest.cached_parts);
        decisions
            .engines
            .merge_peer_state(now, &decisions.fleet, &name, loads, placed);
        decisions
            .usage
            .merge_peer_counts(wall, &name, digest.started_at_us, digest.usage);
        decisions.hear_demand(now, &name, digest.demand);
        drop(guard);
        if digest.table_version > host.table_version() {
            // The receiver ends only with the host.
            let _stopped = self.newer.send(digest.host.address);
        }
    }
}

/// Encodes a message; the types have only fields that the codec writes.
fn encode(message: &PeerMessage) -> Vec<u8> {
    rmp_serde::to_vec(message).unwrap_or_else(|error| {
        warn!(event = "digest_not_written", error = %error);
        Vec::new()
    })
}
