//! A running entry daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_net::server::{HttpServer, ServerHandle};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::{EntryHost, EntryPorts, Result};
use crate::caller_api::caller_router;
use crate::directory::poll_host_list;
use crate::metrics::EntryMetrics;
use crate::peer_api::peer_router;
use crate::placement::poll_servers;
use crate::settings::EntrySettings;
use crate::shared::{poll_head, poll_notices, replay_table, run_gossip};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait at a stop for peers to take whole answers that callers may still ask for.
///
/// Peers that accept records do so within milliseconds; those that stop as well accept none.
const KEPT_ANSWERS_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of streams that the last line of a stop names.
const MAX_LOGGED_IDS: usize = 64;
/// Longest wait at a stop for the last responses to peers, which may be up to 400 ms in progress.
const PEER_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Holds the addresses that a daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// Runs the servers and background tasks of one entry host.
#[derive(Debug)]
pub struct EntryDaemon {
    host: Arc<EntryHost>,
    addresses: DaemonAddresses,
    caller_server: ServerHandle,
    peer_server: ServerHandle,
    background_tasks: Vec<JoinHandle<()>>,
}

impl EntryDaemon {
    /// Starts a daemon: binds its addresses and spawns its background tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a metric cannot be registered.
    pub async fn start(mut settings: EntrySettings) -> Result<Self> {
        let callers = HttpServer::bind(settings.callers).await?;
        let peers = HttpServer::bind(settings.peers).await?;
        let addresses = DaemonAddresses {
            callers: callers.address()?,
            peers: peers.address()?,
        };
        settings.peers = addresses.peers;
        let ports = EntryPorts::connect(&settings);
        let host = EntryHost::new(settings, ports, EntryMetrics::new()?);
        let background_tasks = vec![
            tokio::spawn(replay_table(Arc::clone(&host))),
            tokio::spawn(poll_head(Arc::clone(&host))),
            tokio::spawn(run_gossip(Arc::clone(&host))),
            tokio::spawn(poll_notices(Arc::clone(&host))),
            tokio::spawn(poll_host_list(Arc::clone(&host))),
            tokio::spawn(poll_servers(Arc::clone(&host))),
        ];
        let caller_server = callers.start(caller_router(&host));
        let peer_server = peers.start(peer_router(&host));
        log::info!(
            "entry daemon {} listens on {}",
            host.settings.host,
            addresses.callers
        );
        Ok(Self {
            host,
            addresses,
            caller_server,
            peer_server,
            background_tasks,
        })
    }

    /// Returns the addresses that the daemon listens on.
    #[must_use]
    pub const fn addresses(&self) -> &DaemonAddresses {
        &self.addresses
    }

    /// Stops gracefully: refuses new requests and lets those in progress end.
    ///
    /// Streams may be handed over to peers, as are whole answers whose callers may still ask for them.
    /// Requests that outlast the drain timeout are not awaited.
    pub async fn stop(self) {
        self.host.start_draining();
        log::info!("entry daemon {} is draining", self.host.settings.host);
        let deadline = Instant::now() + self.host.settings.drain_timeout;
        let stop_at = self.host.now() + self.host.settings.drain_timeout;
        self.host.streams.announce_shutdown(stop_at);
        wait_until(deadline, || !has_open_streams(&self.host)).await;
        let time_left = deadline.saturating_duration_since(Instant::now());
        let (has_ended, ()) = tokio::join!(
            self.caller_server.stop_within(time_left),
            settle_streams(&self.host, deadline),
        );
        // Callers that were still connected may have left whole answers.
        settle_streams(&self.host, deadline).await;
        wait_until(deadline, || self.host.shards.is_idle()).await;
        let has_ended = has_ended && self.host.shards.is_idle();
        self.peer_server.stop_within(PEER_STOP_TIMEOUT).await;
        self.background_tasks.iter().for_each(JoinHandle::abort);
        log_stopped(&self.host, has_ended);
    }

    /// Ends the daemon immediately, as a crash would.
    pub fn abort(self) {
        self.caller_server.abort();
        self.peer_server.abort();
        self.background_tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Returns whether a stream has no final response yet, or a record is on its way to a peer.
fn has_open_streams(host: &EntryHost) -> bool {
    host.metrics.open_streams.get() > 0 || !host.handovers.is_idle()
}

/// Waits until no stream is open, then until peers have taken the answers that are kept here.
async fn settle_streams(host: &EntryHost, deadline: Instant) {
    wait_until(deadline, || !has_open_streams(host)).await;
    let kept_until = deadline.min(Instant::now() + KEPT_ANSWERS_TIMEOUT);
    let are_settled = || {
        let is_kept = !host.streams.is_empty() && !host.live_peers().is_empty();
        !is_kept && !has_open_streams(host)
    };
    wait_until(kept_until, are_settled).await;
}

/// Waits until a condition holds, or until `deadline`.
async fn wait_until(deadline: Instant, is_reached: impl Fn() -> bool) {
    while !is_reached() && Instant::now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Logs the end of a stop, with the requests that it leaves behind.
fn log_stopped(host: &EntryHost, has_ended: bool) {
    let name = &host.settings.host;
    let open_streams = host.metrics.open_streams.get();
    let streams = host.streams.ids();
    if has_ended && streams.is_empty() {
        log::info!("entry daemon {name} stopped");
        return;
    }
    let ids = streams.iter().take(MAX_LOGGED_IDS).map(ToString::to_string);
    let ids = ids.collect::<Vec<_>>().join(", ");
    log::warn!(
        "entry daemon {name} stopped with requests in hand: connections and keyed calls ended in \
         time: {has_ended}; open streams: {open_streams} of {} held: {ids}",
        streams.len(),
    );
}
