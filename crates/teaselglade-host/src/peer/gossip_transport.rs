//! Sends and receives gossip digests over UDP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::engine::{EngineLoad, ToldLoads};
use teaselglade_routing::gossip::{
    AggregateDigest, CandidateHost, HostDigest, PeerMessage, ServerNews, ServiceDemand,
};
use teaselglade_routing::limit::{LimitReport, PermitAnswer, PermitMessage};
use teaselglade_routing::registry::UpdateScope;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use tracing::{debug, info, warn};

use super::TableAnnouncement;
use super::aggregate_round::AggregateRound;
use crate::permit::{OutgoingMessage, give_back};
use crate::state::HostState;

/// Interval between digests of a host.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of own digests that an aggregator sends per aggregate digest.
const DIGESTS_PER_AGGREGATE: u64 = 2;
/// Number of digests per digest that includes a sample of peers, in a large fleet.
const DIGESTS_PER_PEER_SAMPLE: u64 = 5;
/// Fraction of the aggregate interval over which an aggregator spreads its sends.
///
/// Aggregate digests that are sent in one burst would find a full link.
const PACING_FRACTION: f64 = 0.8;
/// Maximum size of a received digest; longer datagrams are truncated.
const MAX_DIGEST_BYTES: usize = 60 * 1024;

/// Sends and receives gossip digests over UDP.
#[derive(Debug)]
pub struct GossipTransport {
    host: Arc<HostState>,
    socket: UdpSocket,
    /// Channel for announcements of newer tables.
    newer_tables: UnboundedSender<TableAnnouncement>,
    /// Messages about permits that requests on this host send.
    outbox: Option<UnboundedReceiver<OutgoingMessage>>,
    /// Sequence number of the last digest.
    sequence: u64,
    /// Aggregate digest that is being sent to the served hosts.
    round: AggregateRound,
}

impl GossipTransport {
    /// Binds the peer address and adds the seeds of the settings to the membership.
    ///
    /// Announcements of tables that are newer than the active one go to `newer_tables`.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind, such as an address in use.
    pub async fn bind(
        host: Arc<HostState>,
        newer_tables: UnboundedSender<TableAnnouncement>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(host.settings.listen.peers).await?;
        let port = host.settings.listen.peers.port();
        let seeds = host.settings.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
        let own = host.settings.listen.peers;
        host.lock_decisions()
            .membership
            .add_seeds(seeds.filter(|seed| *seed != own));
        let outbox = host.permits.take_outbox();
        Ok(Self {
            host,
            socket,
            outbox,
            newer_tables,
            sequence: 0,
            round: AggregateRound::default(),
        })
    }

    /// Sends and receives digests until the task is aborted.
    pub async fn run(mut self) {
        let mut ticks = interval(DIGEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DIGEST_BYTES];
        let mut outbox = self.outbox.take();
        loop {
            tokio::select! {
                Some((target, message)) = next_message(&mut outbox) => {
                    self.send_to(&encode(&message), target).await;
                }
                _tick = ticks.tick() => self.send_digest().await,
                () = sleep_until(self.round.next_send_at), if !self.round.remaining.is_empty() => {
                    self.send_next_aggregate().await;
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, sender)) => {
                        if let Some(reply) = self.receive(&buffer[..length], sender) {
                            self.send_to(&encode(&reply), sender).await;
                        }
                    }
                    // An unreachable peer makes a later receive fail; other peers still send.
                    Err(error) => debug!(event = "digest_receive_failed", error = %error),
                },
            }
        }
    }

    async fn send_digest(&mut self) {
        let (digest, news, limits, targets) = self.build_digest();
        let news: Vec<Vec<u8>> = news
            .into_iter()
            .map(|part| encode(&PeerMessage::News(part)))
            .collect();
        let rollouts = {
            let (host, now) = (&self.host, self.host.now());
            let decisions = host.lock_decisions();
            decisions
                .rollouts
                .report(now, host.started_at_us, self.sequence)
        };
        let rollouts = (!rollouts.is_empty()).then(|| encode(&PeerMessage::Rollouts(rollouts)));
        let bytes = encode(&PeerMessage::Host(Box::new(digest)));
        let limits = (!limits.is_empty()).then(|| encode(&PeerMessage::Limits(limits)));
        let shares = self.host.update_shares(self.sequence);
        let shares = shares.map(|report| encode(&PeerMessage::Shares(report)));
        let speeds = self.host.lock_decisions().speed_message(self.sequence);
        let speeds = speeds.map(|speeds| encode(&speeds));
        for target in targets {
            for part in &news {
                self.send_to(part, target).await;
            }
            self.send_to(&bytes, target).await;
            let beside = limits.iter().chain(&rollouts).chain(&shares).chain(&speeds);
            for message in beside {
                self.send_to(message, target).await;
            }
        }
        if self.sequence.is_multiple_of(DIGESTS_PER_AGGREGATE) {
            self.start_aggregate_round();
        }
    }

    /// Starts to send an aggregate digest to the hosts that this one serves, if any.
    fn start_aggregate_round(&mut self) {
        let now = self.host.now();
        let served = self.host.lock_decisions().membership.served_peers(now);
        if served.is_empty() {
            return;
        }
        let send_window = DIGEST_INTERVAL.mul_f64(DIGESTS_PER_AGGREGATE as f64 * PACING_FRACTION);
        let shares = self.host.lock_decisions().shares.fleet_report(now);
        let shares = (!shares.is_empty()).then(|| encode(&PeerMessage::Shares(shares)));
        let number = self.sequence / DIGESTS_PER_AGGREGATE;
        let speeds = self.host.lock_decisions().speed_aggregate(number);
        let (aggregate, loads) = self.build_aggregate();
        self.round = AggregateRound {
            news: self.build_news(),
            news_at: Instant::now(),
            loads: loads.map(|loads| encode(&PeerMessage::Loads(loads))),
            shares,
            speeds: speeds.map(|speeds| encode(&speeds)),
            bytes: encode(&PeerMessage::Aggregate(Box::new(aggregate))),
            send_interval: send_window / served.len() as u32,
            remaining: served,
            next_send_at: Instant::now(),
        };
    }

    /// Returns the news of servers that this aggregator tells the hosts that it serves now.
    fn build_news(&self) -> Vec<Vec<u8>> {
        let now = self.host.now();
        let number = self.sequence / DIGESTS_PER_AGGREGATE;
        let parts = self.host.lock_decisions().aggregate_parts(now, number);
        let parts = parts.into_iter();
        parts.map(|part| encode(&PeerMessage::News(part))).collect()
    }

    async fn send_next_aggregate(&mut self) {
        let Some(target) = self.round.remaining.pop() else {
            return;
        };
        self.round.next_send_at += self.round.send_interval;
        if self.round.has_old_news() {
            self.round.news = self.build_news();
            self.round.news_at = Instant::now();
        }
        // Departures go first: a full link drops what comes later.
        for part in &self.round.news {
            self.send_to(part, target).await;
        }
        self.send_to(&self.round.bytes, target).await;
        if let Some(loads) = self.round.loads_beside_news() {
            self.send_to(loads, target).await;
        }
        if let Some(speeds) = &self.round.speeds {
            self.send_to(speeds, target).await;
        }
        let now = self.host.now();
        let (evidence, limits, rollouts, zones) = {
            let decisions = self.host.lock_decisions();
            let number = self.sequence / DIGESTS_PER_AGGREGATE;
            (
                decisions.crash_ledger.evidence(now, UpdateScope::All),
                decisions.limit_aggregate(now, number),
                decisions.rollouts.aggregate(now, number),
                decisions.zones.report(now),
            )
        };
        if !rollouts.is_empty() {
            let bytes = encode(&PeerMessage::Rollouts(rollouts));
            self.send_to(&bytes, target).await;
        }
        if let Some(shares) = &self.round.shares {
            self.send_to(shares, target).await;
        }
        if !limits.is_empty() {
            let bytes = encode(&PeerMessage::Limits(limits));
            self.send_to(&bytes, target).await;
        }
        if let Some(zones) = zones {
            let bytes = encode(&PeerMessage::Zones(zones));
            self.send_to(&bytes, target).await;
        }
        if !evidence.is_empty() {
            let bytes = encode(&PeerMessage::Crashes(evidence));
            self.send_to(&bytes, target).await;
        }
    }

    async fn send_to(&self, bytes: &[u8], target: SocketAddr) {
        let sent = self.socket.send_to(bytes, target).await;
        let direction = if sent.is_ok() { "sent" } else { "send_failed" };
        let metrics = &self.host.metrics;
        metrics.digests.with_label_values(&[direction]).inc();
        let sent_bytes = metrics.digest_bytes.with_label_values(&[direction]);
        sent_bytes.inc_by(bytes.len() as u64);
    }

    /// Returns the next digest of this host, news of servers to send before it, what the host knows
    /// of limited servers, and their targets.
    ///
    /// Expires silent peers before.
    fn build_digest(&mut self) -> (HostDigest, Vec<ServerNews>, LimitReport, Vec<SocketAddr>) {
        self.sequence += 1;
        let host = &self.host;
        let (now, wall_time) = (host.now(), HostState::wall_time());
        let active_version = host.table_version();
        let mut decisions = host.lock_decisions();
        for name in decisions.membership.expire(now) {
            decisions.remove_peer(&name);
            info!(event = "peer_gone", peer = name);
        }
        decisions.engine_placer.prune(now);
        decisions.plan_zones(now);
        decisions.prune_limits(now);
        let limited_servers = decisions.limits.limited_servers().cast_signed() as i64;
        host.metrics.advice.limited_servers.set(limited_servers);
        let limits = decisions.limit_report(now, host.started_at_us, self.sequence);
        decisions.confirm_responses(now);
        host.report_subject_changes(now, &mut decisions.crash_ledger);
        let peer_count = decisions.membership.peer_count() as u32;
        if peer_count > 0 {
            decisions.quotas.set_fleet_size(peer_count + 1);
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
        let (news, parts) = decisions.host_news(now, self.sequence);
        let last_aggregate_at = decisions.quotas.last_aggregate_at();
        let aggregator = decisions
            .membership
            .choose_aggregator(now, last_aggregate_at);
        let includes_peers = !decisions.membership.is_large()
            || self.sequence.is_multiple_of(DIGESTS_PER_PEER_SAMPLE);
        let peers = if includes_peers {
            decisions.membership.sample_peers()
        } else {
            Vec::new()
        };
        let is_leader = decisions.membership.is_leader();
        let digest = HostDigest {
            host: host.own_address(),
            started_at_us: host.started_at_us,
            sequence: self.sequence,
            table_version: active_version,
            store_reachable: decisions.store_reachable(),
            is_leader,
            update_age_ms: news.update_age_ms,
            updates: news.updates,
            spend: decisions.quotas.report(now),
            loads: decisions.engine_placer.own_loads(&decisions.registry),
            cached_parts: decisions.engine_placer.recent_parts(now),
            demand,
            usage: decisions.usage.recent_counts(wall_time),
            decided_reports: if is_leader {
                decisions.usage.decided_reports()
            } else {
                Vec::new()
            },
            departures: news.departures,
            requested_aggregator: aggregator,
            peers,
            zone: host.settings.zone.clone(),
            crash_evidence: decisions.crash_ledger.evidence(now, scope),
        };
        let targets = decisions.membership.gossip_targets(now);
        (digest, parts, limits, targets)
    }

    /// Returns the sum of the digests that this aggregator received, for its served hosts.
    ///
    /// Loads for which it has no room come apart.
    fn build_aggregate(&self) -> (AggregateDigest, Option<Vec<EngineLoad>>) {
        let host = &self.host;
        let now = host.now();
        let active_version = host.table_version();
        let sender = host.own_address();
        let mut guard = host.lock_decisions();
        let decisions = &mut *guard;
        let own = CandidateHost {
            host: sender.clone(),
            started_at_us: host.started_at_us,
            last_seen_ms: 0,
            store_reachable: decisions.store_reachable(),
            is_leader: decisions.membership.is_leader(),
            zone: host.settings.zone.clone(),
        };
        let number = self.sequence / DIGESTS_PER_AGGREGATE;
        let news = decisions.aggregate_news(now, number);
        let (loads, turn) = match decisions.engine_placer.tell_loads(&decisions.registry) {
            ToldLoads::All(loads) => (loads, None),
            ToldLoads::Some(loads) => (Vec::new(), Some(loads)),
        };
        let aggregate = AggregateDigest {
            candidates: decisions.membership.candidates(now, own),
            table_version: active_version,
            sender,
            seen_share: decisions.membership.seen_share(now),
            update_age_ms: news.update_age_ms,
            updates: news.updates,
            departures: news.departures,
            loads,
            cached_parts: decisions
                .engine_placer
                .take_unsent_parts(now, &decisions.registry),
            spend: decisions.quotas.fleet_spend(now),
        };
        (aggregate, turn)
    }

    /// Applies a received message; returns the reply to its sender, if any.
    fn receive(&self, bytes: &[u8], sender: SocketAddr) -> Option<PeerMessage> {
        let digests = &self.host.metrics.digests;
        let message: PeerMessage = match rmp_serde::from_slice(bytes) {
            Ok(message) => message,
            Err(error) => {
                digests.with_label_values(&["unreadable"]).inc();
                debug!(event = "digest_unreadable", sender = %sender, error = %error);
                return None;
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
            PeerMessage::Host(digest) => self.apply_host_digest(*digest),
            PeerMessage::Aggregate(digest) => self.apply_aggregate_digest(*digest),
            PeerMessage::Crashes(evidence) => {
                let now = self.host.now();
                let mut decisions = self.host.lock_decisions();
                decisions.crash_ledger.merge(now, &evidence);
            }
            PeerMessage::Limits(report) => self.host.merge_limits(&report),
            PeerMessage::Rollouts(report) => {
                let now = self.host.now();
                self.host.lock_decisions().merge_rollouts(now, report);
            }
            PeerMessage::Shares(report) => {
                let now = self.host.now();
                let mut decisions = self.host.lock_decisions();
                // Aggregators that followed one another's sums would never learn the room.
                let is_sum = report.host.is_empty();
                if !(is_sum && decisions.membership.is_aggregator(now)) {
                    decisions.shares.receive(now, report);
                }
            }
            PeerMessage::Zones(report) => {
                let now = self.host.now();
                self.host.lock_decisions().zones.apply_report(now, report);
            }
            PeerMessage::Speeds { engines, plain } => {
                let mut decisions = self.host.lock_decisions();
                decisions.merge_speeds(&engines, &plain);
            }
            PeerMessage::News(news) => {
                let now = self.host.now();
                self.host.lock_decisions().merge_news(now, news);
            }
            PeerMessage::Loads(loads) => self.apply_load_turn(&loads),
            PeerMessage::Permit(message) => return self.apply_permit_message(message, sender),
        }
        None
    }

    /// Applies a message about a permit; returns the answer to a request for one.
    fn apply_permit_message(
        &self,
        message: PermitMessage,
        sender: SocketAddr,
    ) -> Option<PeerMessage> {
        let host = &self.host;
        match message {
            PermitMessage::Ask(request) => {
                let answer = host.answer_permit(&request);
                Some(PeerMessage::Permit(PermitMessage::Answer {
                    number: request.number,
                    server: request.notice.server,
                    answer,
                }))
            }
            PermitMessage::Answer {
                number,
                server,
                answer,
            } => {
                let is_granted = matches!(answer, PermitAnswer::Granted { .. });
                if !host.permits.answer(number, answer) && is_granted {
                    give_back(host, sender, server);
                }
                None
            }
            PermitMessage::GiveBack { server } => {
                host.lock_decisions().permit_issuer.take_back(server);
                None
            }
        }
    }

    fn apply_load_turn(&self, loads: &[EngineLoad]) {
        let now = self.host.now();
        let mut guard = self.host.lock_decisions();
        let decisions = &mut *guard;
        // An aggregator receives the digests of all hosts itself.
        if !decisions.membership.is_aggregator(now) {
            decisions
                .engine_placer
                .apply_load_turn(now, &decisions.registry, loads);
        }
    }

    fn apply_aggregate_digest(&self, digest: AggregateDigest) {
        let host = &self.host;
        let now = host.now();
        let mut guard = host.lock_decisions();
        let decisions = &mut *guard;
        for candidate in &digest.candidates {
            decisions.membership.record_candidate(now, candidate);
        }
        let age = Duration::from_millis(digest.update_age_ms);
        decisions.merge_server_updates(now, age, digest.updates, &digest.departures);
        // An aggregator receives the digests of all hosts itself.
        if !decisions.membership.is_aggregator(now) {
            let (spend, cached_parts) = (digest.spend, &digest.cached_parts);
            decisions
                .engine_placer
                .merge_cached_parts(now, &decisions.registry, cached_parts);
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
        self.announce_newer_table(digest.sender.address, digest.table_version);
    }

    fn apply_host_digest(&self, digest: HostDigest) {
        let host = &self.host;
        let (now, wall_time) = (host.now(), HostState::wall_time());
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
        decisions.crash_ledger.merge(now, &digest.crash_evidence);
        decisions
            .quotas
            .receive_spend(now, &name, digest.started_at_us, digest.spend);
        let (loads, cached_parts) = (&digest.loads, &digest.cached_parts);
        decisions.engine_placer.merge_peer_state(
            now,
            &decisions.registry,
            &name,
            loads,
            cached_parts,
        );
        decisions
            .usage
            .merge_peer_counts(wall_time, &name, digest.started_at_us, digest.usage);
        for report in digest.decided_reports {
            decisions.usage.record_decided(report);
        }
        decisions.record_peer_demand(now, &name, &digest.zone, digest.demand);
        drop(guard);
        self.announce_newer_table(digest.host.address, digest.table_version);
    }

    fn announce_newer_table(&self, peer: SocketAddr, version: u64) {
        if version > self.host.table_version() {
            // The receiver lives as long as the host.
            let _stopped = self.newer_tables.send(TableAnnouncement { peer, version });
        }
    }
}

/// Returns the next message of the outbox; waits forever without one.
async fn next_message(
    outbox: &mut Option<UnboundedReceiver<OutgoingMessage>>,
) -> Option<OutgoingMessage> {
    match outbox {
        Some(outbox) => outbox.recv().await,
        None => std::future::pending().await,
    }
}

/// Encodes a message.
///
/// No error is expected, as the codec supports all field types; one would yield an empty message.
fn encode(message: &PeerMessage) -> Vec<u8> {
    rmp_serde::to_vec(message).unwrap_or_else(|error| {
        warn!(event = "digest_not_written", error = %error);
        Vec::new()
    })
}
