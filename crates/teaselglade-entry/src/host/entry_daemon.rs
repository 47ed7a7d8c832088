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
    /// Streams may be handed over to peers. Requests that outlast the drain timeout are not
    /// awaited.
    pub async fn stop(self) {
        self.host.start_draining();
        log::info!("entry daemon {} is draining", self.host.settings.host);
        let deadline = Instant::now() + self.host.settings.drain_timeout;
        let stop_at = self.host.now() + self.host.settings.drain_timeout;
        self.host.streams.announce_shutdown(stop_at);
        while self.has_streams() && Instant::now() < deadline {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        tokio::select! {
            () = self.caller_server.stop() => {}
            () = tokio::time::sleep_until(deadline) => {}
        }
        while !self.host.shards.is_idle() && Instant::now() < deadline {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.peer_server.abort();
        self.background_tasks.iter().for_each(JoinHandle::abort);
        log::info!("entry daemon {} stopped", self.host.settings.host);
    }

    fn has_streams(&self) -> bool {
        self.host.metrics.open_streams.get() > 0 || !self.host.handovers.is_idle()
    }

    /// Ends the daemon immediately, as a crash would.
    pub fn abort(self) {
        self.caller_server.abort();
        self.peer_server.abort();
        self.background_tasks.iter().for_each(JoinHandle::abort);
    }
}
