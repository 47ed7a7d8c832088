//! Sends and takes digests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::exchange::{
    FleetDigest, HostDigest, LeadingHost, PeerAddress, PeerMessage, ServiceDemand,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{debug, info};

use crate::state::HostState;

/// Time between two digests of a host.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Own digests of a collector for each digest of the fleet.
const FLEET_TURN: u64 = 2;
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
        self.send_to(&PeerMessage::Host(Box::new(digest)), targets)
            .await;
        let now = self.host.now();
        let is_turn = self.number.is_multiple_of(FLEET_TURN);
        if is_turn && self.host.decide().roster.is_collector(now) {
            let (digest, targets) = self.fleet_digest();
            self.send_to(&PeerMessage::Fleet(Box::new(digest)), targets)
                .await;
        }
    }

    async fn send_to(&self, message: &PeerMessage, targets: Vec<SocketAddr>) {
        // The types have only fields that the codec writes.
        let Ok(bytes) = rmp_serde::to_vec(message) else {
            return;
        };
        for target in targets {
            let sent = self.socket.send_to(&bytes, target).await;
            let direction = if sent.is_ok() { "sent" } else { "send_failed" };
            let digests = &self.host.metrics.digests;
            digests.with_label_values(&[direction]).inc();
        }
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
        let demand = decisions.engines.demand(now).into_iter();
        let demand = demand.map(|(service, tokens)| ServiceDemand { service, tokens });
        let demand = demand.collect();
        let digest = HostDigest {
            host: PeerAddress {
                name: host.settings.name.clone(),
                address: host.settings.listen.peers,
            },
            start: host.start,
            number: self.number,
            table,
            reads_store: decisions.reads_store(),
            news_age_ms: now.since(decisions.news_at).as_millis() as u64,
            news: decisions.fleet.news(now),
            spend: decisions.quotas.report(now),
            loads: decisions.engines.loads(&decisions.fleet),
            placed: decisions.engines.recent_prompts(now),
            demand,
            usage: decisions.usage.shared(wall),
            departures: decisions.fleet.departures(now),
            peers: decisions.roster.named(),
        };
        let targets = decisions.roster.targets(now);
        (digest, targets)
    }

    /// Adds up what this collector heard, for the hosts that it serves.
    fn fleet_digest(&self) -> (FleetDigest, Vec<SocketAddr>) {
        let host = &self.host;
        let now = host.now();
        let table = host.table_version();
        let sender = PeerAddress {
            name: host.settings.name.clone(),
            address: host.settings.listen.peers,
        };
        let mut guard = host.decide();
        let decisions = &mut *guard;
        let own = LeadingHost {
            host: sender.clone(),
            start: host.start,
            reads_store: decisions.reads_store(),
        };
        let digest = FleetDigest {
            leaders: decisions.roster.leaders(now, own),
            table,
            sender,
            heard_share: decisions.roster.heard_share(now),
            news_age_ms: now.since(decisions.news_at).as_millis() as u64,
            news: decisions.fleet.news(now),
            departures: decisions.fleet.departures(now),
            loads: decisions.engines.fleet_loads(&decisions.fleet),
            spend: decisions.quotas.fleet_spend(now),
        };
        (digest, decisions.roster.served(now))
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
        match message {
            PeerMessage::Host(digest) => self.apply(*digest),
            PeerMessage::Fleet(digest) => self.apply_fleet(*digest),
        }
    }

    fn apply_fleet(&self, digest: FleetDigest) {
        let host = &self.host;
        let now = host.now();
        let mut guard = host.decide();
        let decisions = &mut *guard;
        for leader in &digest.leaders {
            decisions.roster.note_leader(now, leader);
        }
        for sheet in digest.news {
            decisions.fleet.note_sheet(now, sheet);
        }
        decisions.note_news(now, Duration::from_millis(digest.news_age_ms));
        for departure in &digest.departures {
            decisions.fleet.note_departure(now, departure);
        }
        // A collector hears all hosts itself.
        if !decisions.roster.is_collector(now) {
            let spend = digest.spend;
            if decisions.quotas.follow(now, spend, digest.heard_share) {
                let loads = &digest.loads;
                decisions.engines.follow(now, &decisions.fleet, loads);
            }
        }
        drop(guard);
        if digest.table > host.table_version() {
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
        if !decisions.roster.note_heard(now, &digest) {
            return;
        }
        for peer in &digest.peers {
            decisions.roster.note_named(now, peer);
        }
        for sheet in digest.news {
            decisions.fleet.note_sheet(now, sheet);
        }
        decisions.note_news(now, Duration::from_millis(digest.news_age_ms));
        for departure in &digest.departures {
            decisions.fleet.note_departure(now, departure);
        }
        decisions
            .quotas
            .hear(now, &name, digest.start, digest.spend);
        let (loads, placed) = (&digest.loads, &digest.placed);
        decisions
            .engines
            .hear(now, &decisions.fleet, &name, loads, placed);
        decisions
            .usage
            .hear(wall, &name, digest.start, digest.usage);
        decisions.hear_demand(now, &name, digest.demand);
        drop(guard);
        if digest.table > host.table_version() {
            // The receiver ends only with the host.
            let _stopped = self.newer.send(digest.host.address);
        }
    }
}
