//! State that the parts of one entry daemon share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::id::{HostName, RequestId, ServerKey};
use teaselglade_core::port::ListedHost;
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::policy::PlacementEvent;
use teaselglade_request::handover::owner_hint;
use teaselglade_wire::HostStatus;

use super::EntryPorts;
use crate::directory::{BackendDirectory, ServerEntry};
use crate::handover::{HandoverDriver, OwnListing};
use crate::metrics::EntryMetrics;
use crate::placement::{PlacementController, PlacementRequest};
use crate::plain::ShardRegistry;
use crate::retry::ServiceBudgets;
use crate::settings::EntrySettings;
use crate::shared::{ActiveTable, SharedState};
use crate::stream::StreamRegistry;

/// Holds the state that the parts of one entry daemon share.
#[derive(Debug)]
pub(crate) struct EntryHost {
    /// Settings of the daemon.
    pub(crate) settings: EntrySettings,
    /// Ports to other processes.
    pub(crate) ports: EntryPorts,
    /// Metrics of the daemon.
    pub(crate) metrics: EntryMetrics,
    /// Claim shards that keyed calls use.
    pub(crate) shards: ShardRegistry,
    /// Streams that callers can resume.
    pub(crate) streams: StreamRegistry,
    /// Table and membership, which this host shares with its peers.
    pub(crate) shared: SharedState,
    /// Retry budgets of the services.
    pub(crate) retry_budgets: ServiceBudgets,
    /// Handovers of stream records to peers.
    pub(crate) handovers: HandoverDriver,
    /// How the host list showed this host.
    pub(crate) own_listing: OwnListing,
    /// Incarnation of this host: its start time in milliseconds.
    pub(crate) incarnation: u64,
    directory: Mutex<BackendDirectory>,
    table: RwLock<Arc<ActiveTable>>,
    placement: Mutex<PlacementController>,
    random: Mutex<Pcg64Mcg>,
    draining: AtomicBool,
}

impl EntryHost {
    /// Creates the shared state of a daemon that starts now.
    pub(crate) fn new(
        settings: EntrySettings,
        ports: EntryPorts,
        metrics: EntryMetrics,
    ) -> Arc<Self> {
        let started_at = ports.clock.now();
        let seed = started_at.as_micros() ^ u64::from(std::process::id()) << 32;
        Arc::new(Self {
            shared: SharedState::new(started_at, &settings, seed),
            placement: Mutex::new(PlacementController::new(&settings.host)),
            settings,
            ports,
            metrics,
            shards: ShardRegistry::default(),
            streams: StreamRegistry::default(),
            retry_budgets: ServiceBudgets::default(),
            handovers: HandoverDriver::default(),
            own_listing: OwnListing::default(),
            incarnation: started_at.as_millis(),
            directory: Mutex::default(),
            table: RwLock::default(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            draining: AtomicBool::new(false),
        })
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Timestamp {
        self.ports.clock.now()
    }

    /// Locks and returns the directory of backend servers.
    pub(crate) fn directory(&self) -> MutexGuard<'_, BackendDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the active table.
    pub(crate) fn table(&self) -> Arc<ActiveTable> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Activates a table, unless an equal or later version is active.
    pub(crate) fn set_table(&self, table: ActiveTable) {
        let mut active = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version <= active.version {
            return;
        }
        self.metrics
            .table_version
            .set(i64::try_from(table.version).unwrap_or(i64::MAX));
        self.placement().set_table(self.now(), &table.rows);
        *active = Arc::new(table);
    }

    /// Generates a request id.
    pub(crate) fn new_request(&self) -> RequestId {
        let mut random = [0; 10];
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .fill_bytes(&mut random);
        // The low bits identify the host, so that peers query it first for the stream.
        let hint = owner_hint(&HostName::new(&self.settings.host));
        random[6..].copy_from_slice(&hint.to_be_bytes());
        RequestId::generate(self.now(), random)
    }

    /// Returns all other listed entry hosts, including leaving ones.
    pub(crate) fn all_peers(&self) -> Vec<(HostName, SocketAddr)> {
        self.peers(|_host| true)
    }

    /// Returns the other listed entry hosts that are not leaving.
    pub(crate) fn live_peers(&self) -> Vec<(HostName, SocketAddr)> {
        self.peers(|host| !host.leaving)
    }

    /// Returns the address of a peer, if it is listed.
    pub(crate) fn peer_address(&self, peer: &HostName) -> Option<SocketAddr> {
        let peers = self.all_peers().into_iter();
        peers
            .filter(|(name, _)| name == peer)
            .map(|(_, address)| address)
            .next()
    }

    fn peers(&self, is_included: impl Fn(&ListedHost) -> bool) -> Vec<(HostName, SocketAddr)> {
        let directory = self.directory();
        let others = directory.entry_hosts().iter();
        others
            .filter(|host| host.name.as_str() != self.settings.host && is_included(host))
            .map(|host| (host.name.clone(), host.address))
            .collect()
    }

    /// Chooses a server for a plain call, other than the excluded ones.
    ///
    /// The call is counted at the server until [`EntryHost::release_server`].
    pub(crate) fn choose_server(
        &self,
        row: &ServiceRow,
        excluded: &[ServerKey],
    ) -> Option<ServerEntry> {
        let request = PlacementRequest::plain(row, excluded);
        let server = self.placement().choose(self.now(), &request)?;
        self.directory().server(server).cloned()
    }

    /// Records that a plain call counted at a server ended.
    pub(crate) fn release_server(&self, server: ServerKey) {
        self.placement().release(self.now(), server);
    }

    /// Passes an event of an attempt to the placement.
    pub(crate) fn observe_attempt(&self, event: &PlacementEvent) {
        self.placement().observe(self.now(), event);
    }

    /// Locks and returns the placement controller.
    pub(crate) fn placement(&self) -> MutexGuard<'_, PlacementController> {
        self.placement
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the placement's servers from the directory.
    pub(crate) fn sync_placement(&self) {
        let directory = self.directory();
        self.placement().sync_directory(self.now(), &directory);
    }

    /// Announces to the streams that servers are leaving.
    pub(crate) fn announce_server_departure(
        &self,
        servers: impl IntoIterator<Item = ServerKey>,
        deadline: Timestamp,
    ) {
        for server in servers {
            self.streams.announce_server_departure(server, deadline);
        }
    }

    /// Returns the servers in this host's subset, with their addresses.
    pub(crate) fn polled_servers(&self) -> Vec<(ServerKey, SocketAddr)> {
        let servers = self.placement().servers();
        let directory = self.directory();
        let entries = servers.into_iter().filter_map(|key| directory.server(key));
        entries.map(|entry| (entry.key, entry.address)).collect()
    }

    /// Returns whether the daemon is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Makes the daemon refuse new requests.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the daemon accepts new requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.shared.is_head_known() && self.table().version > 0
    }

    /// Returns the status of this host.
    pub(crate) fn status(&self) -> HostStatus {
        let directory = self.directory();
        HostStatus {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            ready: self.is_ready(),
            draining: self.is_draining(),
            table_version: self.table().version,
            streams: self.metrics.open_streams.get().max(0) as u32,
            servers: directory.available_count() as u32,
            peers: self.shared.peer_count() as u32,
        }
    }
}
