//! Starts and stops the parts of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_net::server::ServerHandle;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::duty::DutyDriver;
use crate::follow::{follow_servers, follow_table};
use crate::ingress::{AdminListeners, CallerListener};
use crate::journal::dropped_lines;
use crate::peer::{DigestExchange, pull_from_peers, start_peer_api};
use crate::port::{Feed, FeedItem};
use crate::settings::HostSettings;
use crate::state::{HostPorts, HostState};

/// Time after the signal to stop in which new connections are still taken.
///
/// The platform asks once a second and takes a host out after two misses.
const LEAVE_SPAN: Duration = Duration::from_millis(2_600);
/// Time before the platform kills the process by which open requests are given up.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time between two rounds of cleaning up.
const CLEAN_INTERVAL: Duration = Duration::from_millis(500);
/// Tries to find other hosts through the store.
const FIND_TRIES: u32 = 10;

/// A running host.
#[derive(Debug)]
pub struct ServingHost {
    state: Arc<HostState>,
    closing: CancellationToken,
    callers: JoinHandle<()>,
    side: AdminListeners,
    peers: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
    duties: Option<JoinHandle<()>>,
}

impl ServingHost {
    /// Starts a host; its counters are served at `metrics`.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound or counters cannot be registered.
    pub async fn start(
        settings: HostSettings,
        ports: HostPorts,
        metrics: Option<SocketAddr>,
    ) -> eyre::Result<Self> {
        let state = HostState::new(settings, ports)?;
        let side = AdminListeners::start(&state, metrics).await?;
        let listener = CallerListener::bind(Arc::clone(&state))?;
        let peers = start_peer_api(&state).await?;
        let (sender, newer) = unbounded_channel();
        let exchange = DigestExchange::bind(Arc::clone(&state), sender).await?;
        let closing = CancellationToken::new();
        let within = state
            .settings
            .stop_within
            .saturating_sub(LEAVE_SPAN + KILL_MARGIN);
        let callers = tokio::spawn(listener.serve(closing.clone(), within));
        let tasks = vec![
            tokio::spawn(exchange.run()),
            tokio::spawn(pull_from_peers(Arc::clone(&state), newer)),
            tokio::spawn(follow_table(Arc::clone(&state))),
            tokio::spawn(follow_servers(Arc::clone(&state))),
            tokio::spawn(find_hosts(Arc::clone(&state))),
            tokio::spawn(clean_up(Arc::clone(&state))),
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
            start = state.start,
        );
        Ok(Self {
            state,
            closing,
            callers,
            side,
            peers,
            tasks,
            duties,
        })
    }

    /// Returns what the parts of the host share.
    #[must_use]
    pub const fn state(&self) -> &Arc<HostState> {
        &self.state
    }

    /// Stops gracefully: callers are told to go, open requests end, and the duties are given up.
    pub async fn stop(self) {
        info!(event = "stopping");
        self.state.stopping.cancel();
        sleep(LEAVE_SPAN).await;
        self.closing.cancel();
        let is_ended = self.callers.await.is_ok();
        if let Some(duties) = self.duties {
            let is_released = timeout(KILL_MARGIN / 2, duties).await.is_ok();
            info!(event = "duties_ended", is_released);
        }
        self.side.abort();
        self.peers.abort();
        for task in self.tasks {
            task.abort();
        }
        info!(event = "stopped", is_ended);
    }
}

/// Publishes this host in the store and finds the others there.
async fn find_hosts(host: Arc<HostState>) {
    let own = host.own_address();
    for _try in 0..FIND_TRIES {
        let announced = host.ports.feeds.announce(own.clone()).await;
        let listed = host.ports.feeds.latest(Feed::Hosts).await;
        if let (Ok(()), Ok(page)) = (announced, listed) {
            let now = host.now();
            let mut decisions = host.decide();
            for item in page.items {
                if let FeedItem::Host(peer) = item {
                    decisions.roster.add_peer(now, &peer);
                }
            }
            let known = decisions.roster.peer_count();
            drop(decisions);
            info!(event = "hosts_found", known);
            return;
        }
        sleep(CLEAN_INTERVAL).await;
    }
    warn!(event = "hosts_not_found", tries = FIND_TRIES);
}

/// Closes what is out of date and writes what was summed up.
async fn clean_up(host: Arc<HostState>) {
    let mut roles = None;
    let mut dropped = dropped_lines();
    loop {
        sleep(CLEAN_INTERVAL).await;
        let now = host.now();
        host.log.write_summary(now, &host.metrics);
        let lines = dropped_lines().saturating_sub(dropped);
        if lines > 0 {
            dropped += lines;
            let counter = &host.metrics.dropped_lines;
            counter.with_label_values(&["slow_reader"]).inc_by(lines);
            warn!(event = "lines_dropped", lines);
        }
        log_roles(&host, &mut roles);
        host.decide().fleet.remove_expired(now);
        host.pool
            .prune(|server| host.decide().fleet.takes_work(server));
        count_servers(&host);
    }
}

/// Logs what this host does for all others, where that changed.
fn log_roles(host: &HostState, before: &mut Option<(bool, bool, bool)>) {
    let now = host.now();
    let decisions = host.decide();
    let roster = &decisions.roster;
    let (collects, reads) = (roster.is_aggregator(now), roster.is_store_reader(now));
    let may_hold = roster.is_leader_candidate(now);
    let (rank, known) = (roster.rank(now), roster.peer_count());
    let heard = roster.seen_share(now);
    drop(decisions);
    if before.replace((collects, reads, may_hold)) != Some((collects, reads, may_hold)) {
        info!(
            event = "roles",
            collects, reads, may_hold, rank, known, heard
        );
    }
}

fn count_servers(host: &HostState) {
    let Some(held) = host.table() else {
        return;
    };
    let decisions = host.decide();
    for service in &held.table.spec().services {
        let count = decisions.fleet.of_service(&service.name).count();
        let gauge = host.metrics.servers.with_label_values(&[&service.name]);
        gauge.set(count.cast_signed() as i64);
    }
}
