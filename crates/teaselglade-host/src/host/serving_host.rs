//! Starts and stops the components of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_net::server::{OpenConnections, ServerHandle};
use teaselglade_routing::crash::CrashLedger;
use teaselglade_routing::gossip::name_hash;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{error, info, warn};

use super::stop_log::log_open_requests;
use crate::duty::DutyDriver;
use crate::follow::{follow_servers, follow_table};
use crate::ingress::{AdminListeners, CallerListener};
use crate::journal::dropped_lines;
use crate::peer::{GossipTransport, pull_from_peers, start_peer_api};
use crate::port::{Feed, FeedItem};
use crate::quarantine::{QuarantineRecord, keep_quarantine};
use crate::rollout::keep_rollouts;
use crate::settings::HostSettings;
use crate::state::{HostPorts, HostState};

/// Time in which the leader duties hand over their lease.
const DUTY_END_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between cleanup rounds, and between attempts to discover other hosts.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of attempts to discover other hosts through the store.
const MAX_DISCOVERY_ATTEMPTS: u32 = 10;
/// Time over which the hosts of a fleet announce themselves again after the store lost records.
///
/// All hosts at once would exceed the store's rate in a large fleet.
const ANNOUNCEMENT_SPREAD: Duration = Duration::from_secs(4);

/// A running host.
#[derive(Debug)]
pub struct ServingHost {
    state: Arc<HostState>,
    /// Cancelled to stop accepting connections of callers and to drain the open ones.
    draining: CancellationToken,
    callers: JoinHandle<()>,
    connections: Arc<OpenConnections>,
    admin_listeners: AdminListeners,
    peers: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
    duties: Option<JoinHandle<()>>,
}

impl ServingHost {
    /// Starts a host, which serves its metrics at `metrics` if given.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the metrics cannot be registered.
    pub async fn start(
        settings: HostSettings,
        ports: HostPorts,
        metrics: Option<SocketAddr>,
    ) -> eyre::Result<Self> {
        let state = HostState::new(settings, ports)?;
        let admin_listeners = AdminListeners::start(&state, metrics).await?;
        let listener = CallerListener::bind(Arc::clone(&state))?;
        let peers = start_peer_api(&state).await?;
        let (sender, newer_tables) = unbounded_channel();
        let gossip = GossipTransport::bind(Arc::clone(&state), sender).await?;
        let draining = CancellationToken::new();
        let connections = listener.connections();
        let callers = tokio::spawn(listener.serve(draining.clone()));
        let tasks = vec![
            tokio::spawn(gossip.run()),
            tokio::spawn(pull_from_peers(Arc::clone(&state), newer_tables)),
            tokio::spawn(follow_table(Arc::clone(&state))),
            tokio::spawn(follow_servers(Arc::clone(&state))),
            tokio::spawn(discover_hosts(Arc::clone(&state))),
            tokio::spawn(watch_store_history(Arc::clone(&state))),
            tokio::spawn(keep_quarantine(Arc::clone(&state))),
            tokio::spawn(keep_rollouts(Arc::clone(&state))),
            tokio::spawn(run_cleanup(Arc::clone(&state))),
        ];
        let duties = state.ports.duties.clone();
        let duties = duties.map(|port| DutyDriver::new(Arc::clone(&state), port));
        let duties = duties.map(|driver| tokio::spawn(driver.run()));
        let settings = &state.settings;
        info!(
            event = "started",
            host = settings.name,
            zone = settings.zone,
            callers = %settings.listen.callers,
            peers = %settings.listen.peers,
            start = state.started_at_us,
        );
        Ok(Self {
            state,
            draining,
            callers,
            connections,
            admin_listeners,
            peers,
            tasks,
            duties,
        })
    }

    /// Returns the state shared by the components of the host.
    #[must_use]
    pub const fn state(&self) -> &Arc<HostState> {
        &self.state
    }

    /// Shuts down gracefully: drains connections, ends open requests, releases the lease.
    pub async fn stop(self) {
        info!(event = "stopping");
        let plan = self.state.begin_shutdown(self.state.now());
        sleep(plan.accepting_ends_at().since(self.state.now())).await;
        self.draining.cancel();
        let is_ended = self.callers.await.is_ok();
        if !is_ended {
            // Its task failed; the connections have tasks of their own.
            let time_left = plan.answers_end_at().since(self.state.now());
            let is_drained = timeout(time_left, self.connections.shut_down()).await;
            let is_drained = is_drained.is_ok();
            error!(event = "caller_listener_failed", is_drained);
        }
        log_open_requests(&self.state);
        if let Some(duties) = self.duties {
            let is_released = timeout(DUTY_END_TIMEOUT, duties).await.is_ok();
            info!(event = "duties_ended", is_released);
        }
        self.admin_listeners.abort();
        self.peers.abort();
        for task in self.tasks {
            task.abort();
        }
        self.state.start_ending();
        let requests = self.state.lock_open_requests().len();
        info!(event = "stopped", is_ended, requests);
    }
}

/// Announces this host in the store and adds the hosts listed there to the membership.
async fn discover_hosts(host: Arc<HostState>) {
    let own = host.own_address();
    for _attempt in 0..MAX_DISCOVERY_ATTEMPTS {
        let announced = host.ports.feeds.announce(own.clone()).await;
        let listed = host.ports.feeds.latest(Feed::Hosts).await;
        if let (Ok(()), Ok(page)) = (announced, listed) {
            let now = host.now();
            let mut decisions = host.lock_decisions();
            for item in page.items {
                match item {
                    FeedItem::Host(peer) => decisions.membership.add_peer(now, &peer),
                    FeedItem::Quarantine(record) => {
                        load_quarantine(now, &mut decisions.crash_ledger, &record);
                    }
                    _ => {}
                }
            }
            let peer_count = decisions.membership.peer_count();
            drop(decisions);
            info!(event = "hosts_found", known = peer_count);
            return;
        }
        sleep(CLEANUP_INTERVAL).await;
    }
    warn!(event = "hosts_not_found", tries = MAX_DISCOVERY_ATTEMPTS);
}

/// Merges the quarantined parts that the store keeps; an empty record stands for none.
fn load_quarantine(now: Timestamp, crash_ledger: &mut CrashLedger, record: &[u8]) {
    if record.is_empty() {
        return;
    }
    match QuarantineRecord::decode(record) {
        Ok(record) => {
            let evidence = record.evidence_at(HostState::wall_time());
            crash_ledger.merge(now, &evidence);
            info!(event = "quarantine_read", parts = evidence.len());
        }
        Err(error) => warn!(event = "quarantine_unreadable", error = %error),
    }
}

/// Announces this host again whenever the store returns from an older copy of its records.
async fn watch_store_history(host: Arc<HostState>) {
    let mut generations = host.ports.feeds.history_generation();
    let mut known = *generations.borrow_and_update();
    while generations.changed().await.is_ok() {
        let generation = *generations.borrow_and_update();
        let is_return = known > 0;
        host.metrics.store_generation.set(generation.cast_signed());
        if is_return {
            host.metrics.store_returns.inc();
            warn!(event = "store_history_replaced", before = known, generation);
        }
        known = generation;
        if is_return {
            sleep(announcement_delay(&host.settings.name)).await;
            discover_hosts(Arc::clone(&host)).await;
        }
    }
}

/// Returns this host's part of [`ANNOUNCEMENT_SPREAD`], which differs from host to host.
fn announcement_delay(name: &str) -> Duration {
    ANNOUNCEMENT_SPREAD.mul_f64(name_hash(name) as f64 / u64::MAX as f64)
}

/// Periodically logs summaries and role changes, removes expired state and updates gauges.
async fn run_cleanup(host: Arc<HostState>) {
    let mut last_roles = None;
    let mut stale_since = None;
    let mut dropped = dropped_lines();
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let now = host.now();
        host.log.write_summary(now, &host.metrics);
        let lines = dropped_lines().saturating_sub(dropped);
        if lines > 0 {
            dropped += lines;
            let counter = &host.metrics.dropped_lines;
            counter.with_label_values(&["slow_reader"]).inc_by(lines);
            warn!(event = "lines_dropped", lines);
        }
        log_roles(&host, &mut last_roles);
        log_news_age(&host, &mut stale_since);
        let mut decisions = host.lock_decisions();
        decisions.registry.remove_expired(now);
        decisions.prune_speeds();
        drop(decisions);
        host.pool
            .prune(|server| host.lock_decisions().registry.takes_work(server));
        count_servers(&host);
    }
}

/// Sets the gauge of the age of registration data, and logs when it becomes too old or new again.
fn log_news_age(host: &HostState, stale_since: &mut Option<Timestamp>) {
    let now = host.now();
    let decisions = host.lock_decisions();
    let (age, is_stale) = (decisions.update_age(now), decisions.has_stale_news(now));
    drop(decisions);
    let age_ms = age.as_millis() as u64;
    host.metrics.update_age.set(age_ms.cast_signed());
    match (is_stale, *stale_since) {
        (true, None) => {
            *stale_since = Some(now);
            warn!(event = "news_stale", age_ms);
        }
        (false, Some(since)) => {
            *stale_since = None;
            let stale_ms = now.since(since).as_millis() as u64;
            info!(event = "news_fresh", stale_ms);
        }
        _ => {}
    }
}

/// Logs the roles of this host in the fleet if they changed.
fn log_roles(host: &HostState, last_roles: &mut Option<(bool, bool, bool)>) {
    let now = host.now();
    let decisions = host.lock_decisions();
    let membership = &decisions.membership;
    let (is_aggregator, is_store_reader) = (
        membership.is_aggregator(now),
        membership.is_store_reader(now),
    );
    let is_candidate = membership.is_leader_candidate(now);
    let (rank, peer_count) = (membership.rank(now), membership.peer_count());
    let seen_share = membership.seen_share(now);
    drop(decisions);
    if last_roles.replace((is_aggregator, is_store_reader, is_candidate))
        != Some((is_aggregator, is_store_reader, is_candidate))
    {
        info!(
            event = "roles",
            collects = is_aggregator,
            reads = is_store_reader,
            may_hold = is_candidate,
            rank,
            known = peer_count,
            heard = seen_share,
        );
    }
}

/// Sets the gauge of servers that accept work, by service.
fn count_servers(host: &HostState) {
    let Some(active) = host.table() else {
        return;
    };
    let decisions = host.lock_decisions();
    for service in &active.table.spec().services {
        let count = decisions.registry.of_service(&service.name).count();
        let gauge = host.metrics.servers.with_label_values(&[&service.name]);
        gauge.set(count.cast_signed() as i64);
    }
}
