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
pub struct GossipTransport {
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

impl GossipTransport {
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
        host.lock_decisions()
            .membership
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
        let served = self.host.lock_decisions().membership.served_peers(now);
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
        let (now, wall) = (host.now(), HostState::wall_time());
        let table = host.table_version();
        let mut decisions = host.lock_decisions();
        for name in decisions.membership.expire(now) {
            decisions.remove_peer(&name);
            info!(event = "peer_gone", peer = name);
        }
        decisions.engine_placer.prune(now);
        let known = decisions.membership.peer_count() as u32;
        if known > 0 {
            decisions.quotas.set_fleet_size(known + 1);
        }
        if decisions.membership.is_aggregator(now) {
            decisions.quotas.start_aggregating();
            decisions.engine_placer.stop_applying_aggregate();
        }
        let demand = decisions.engine_placer.demand(now).into_iter();
        let demand = demand.map(|(service, tokens)| ServiceDemand {
            service,
            tokens_per_second: tokens,
        });
        let demand = demand.collect();
        let scope = decisions.update_scope(now);
        let turn = decisions.membership.is_large().then_some(self.number);
        let told_at = decisions.quotas.last_aggregate_at();
        let asks = decisions.membership.choose_aggregator(now, told_at);
        let names_peers = turn.is_none_or(|turn| turn.is_multiple_of(NAMED_TURN));
        let peers = if names_peers {
            decisions.membership.sample_peers()
        } else {
            Vec::new()
        };
        let digest = HostDigest {
            host: host.own_address(),
            started_at_us: host.started_at_us,
            sequence: self.number,
            table_version: table,
            store_reachable: decisions.store_reachable(),
            is_leader: decisions.membership.is_leader(),
            update_age_ms: now.since(decisions.registry_updated_at).as_millis() as u64,
            updates: decisions.registry.updates(now, scope),
            spend: decisions.quotas.report(now),
            loads: decisions.engine_placer.own_loads(&decisions.registry),
            cached_parts: decisions.engine_placer.recent_parts(now),
            demand,
            usage: decisions.usage.recent_counts(wall),
            departures: decisions.registry.departures(now, scope, turn),
            requested_aggregator: asks,
            peers,
        };
        let targets = decisions.membership.gossip_targets(now);
        (digest, targets)
    }

    /// Adds up what this collector heard, for the hosts that it serves.
    fn fleet_digest(&self) -> AggregateDigest {
        let host = &self.host;
        let now = host.now();
        let table = host.table_version();
        let sender = host.own_address();
        let mut guard = host.lock_decisions();
        let decisions = &mut *guard;
        let own = CandidateHost {
            host: sender.clone(),
            started_at_us: host.started_at_us,
            last_seen_ms: 0,
            store_reachable: decisions.store_reachable(),
            is_leader: decisions.membership.is_leader(),
        };
        let turn = Some(self.number / FLEET_TURN);
        AggregateDigest {
            candidates: decisions.membership.candidates(now, own),
            table_version: table,
            sender,
            seen_share: decisions.membership.seen_share(now),
            update_age_ms: now.since(decisions.registry_updated_at).as_millis() as u64,
            updates: decisions.registry.updates(now, UpdateScope::All),
            departures: decisions.registry.departures(now, UpdateScope::All, turn),
            loads: decisions.engine_placer.total_loads(&decisions.registry),
            cached_parts: decisions
                .engine_placer
                .take_unsent_parts(now, &decisions.registry),
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
        let mut guard = host.lock_decisions();
        let decisions = &mut *guard;
        for leader in &digest.candidates {
            decisions.membership.record_candidate(now, leader);
        }
        let age = Duration::from_millis(digest.update_age_ms);
        decisions.merge_server_updates(now, age, digest.updates, &digest.departures);
        // A collector hears all hosts itself.
        if !decisions.membership.is_aggregator(now) {
            let (spend, placed) = (digest.spend, &digest.cached_parts);
            decisions
                .engine_placer
                .merge_cached_parts(now, &decisions.registry, placed);
            if decisions
                .quotas
                .apply_aggregate(now, spend, digest.seen_share)
            {
                let loads = &digest.loads;
                decisions
                    .engine_placer
                    .apply_aggregate(now, &decisions.registry, loads);
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
        let (now, wall) = (host.now(), HostState::wall_time());
        let name = digest.host.name.clone();
        let mut guard = host.lock_decisions();
        let decisions = &mut *guard;
        if !decisions.membership.record_digest(now, &digest) {
            return;
        }
        for peer in &digest.peers {
            decisions.membership.add_peer(now, peer);
        }
        let age = Duration::from_millis(digest.update_age_ms);
        decisions.merge_server_updates(now, age, digest.updates, &digest.departures);
        decisions
            .quotas
            .receive_spend(now, &name, digest.started_at_us, digest.spend);
        let (loads, placed) = (&digest.loads, &digest.cached_parts);
        decisions
            .engine_placer
            .merge_peer_state(now, &decisions.registry, &name, loads, placed);
        decisions
            .usage
            .merge_peer_counts(wall, &name, digest.started_at_us, digest.usage);
        decisions.record_peer_demand(now, &name, digest.demand);
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
