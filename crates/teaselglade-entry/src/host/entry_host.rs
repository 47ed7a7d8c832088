//! What the parts of one entry daemon share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::id::{RequestId, ServerKey};
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::HostStatus;

use super::EntryPorts;
use crate::booking::BookingRegister;
use crate::directory::{BackendDirectory, ServerEntry};
use crate::metrics::EntryMetrics;
use crate::placement::{LoadChooser, ServerChooser};
use crate::settings::EntrySettings;
use crate::shared::{SharedState, TableInForce};
use crate::stream::StreamRegister;

/// What the parts of one entry daemon share.
#[derive(Debug)]
pub(crate) struct EntryHost {
    /// Settings of the daemon.
    pub(crate) settings: EntrySettings,
    /// Ports to the outside.
    pub(crate) ports: EntryPorts,
    /// Counters.
    pub(crate) metrics: EntryMetrics,
    /// Shards of claims that bookings work with.
    pub(crate) bookings: BookingRegister,
    /// Streams that callers can come back to.
    pub(crate) streams: StreamRegister,
    /// What this host shares with its peers.
    pub(crate) shared: SharedState,
    /// Start number of this host.
    pub(crate) incarnation: u64,
    directory: Mutex<BackendDirectory>,
    table: RwLock<Arc<TableInForce>>,
    chooser: Mutex<Box<dyn ServerChooser>>,
    random: Mutex<Pcg64Mcg>,
    draining: AtomicBool,
}

impl EntryHost {
    /// Makes the shared state of a daemon that starts now.
    pub(crate) fn new(
        settings: EntrySettings,
        ports: EntryPorts,
        metrics: EntryMetrics,
    ) -> Arc<Self> {
        let started = ports.clock.now();
        let seed = started.as_micros() ^ u64::from(std::process::id()) << 32;
        Arc::new(Self {
            shared: SharedState::new(started, &settings, seed),
            settings,
            ports,
            metrics,
            bookings: BookingRegister::default(),
            streams: StreamRegister::default(),
            incarnation: started.as_millis(),
            directory: Mutex::default(),
            table: RwLock::default(),
            chooser: Mutex::new(Box::new(LoadChooser::default())),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            draining: AtomicBool::new(false),
        })
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Timestamp {
        self.ports.clock.now()
    }

    /// Returns the directory of backend servers.
    pub(crate) fn directory(&self) -> MutexGuard<'_, BackendDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the table in force.
    pub(crate) fn table(&self) -> Arc<TableInForce> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a table in force, unless a later one is.
    pub(crate) fn set_table(&self, table: TableInForce) {
        let mut present = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version <= present.version {
            return;
        }
        self.metrics
            .table_version
            .set(i64::try_from(table.version).unwrap_or(i64::MAX));
        *present = Arc::new(table);
    }

    /// Makes a new request id.
    pub(crate) fn new_request(&self) -> RequestId {
        let mut random = [0; 10];
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .fill_bytes(&mut random);
        RequestId::generate(self.now(), random)
    }

    /// Chooses a server that the row permits, other than the excluded ones.
    pub(crate) fn choose_server(
        &self,
        row: &ServiceRow,
        excluded: &[ServerKey],
    ) -> Option<ServerEntry> {
        let directory = self.directory();
        let permitted = |server: &&ServerEntry| {
            row.permits(&server.class, &server.zone, server.cents_per_hour)
                && !excluded.contains(&server.key)
        };
        let candidates = directory.open_servers(&row.name).filter(permitted);
        let candidates = candidates.map(|server| server.key).collect::<Vec<_>>();
        let server = self.chooser().choose(&candidates)?;
        directory.server(server).cloned()
    }

    /// Notes that a dispatch to a server ended.
    pub(crate) fn release_server(&self, server: ServerKey) {
        self.chooser().release(server);
    }

    /// Returns whether the daemon is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Makes the daemon take no new requests.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the daemon takes new requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.shared.is_head_known() && self.table().version > 0
    }

    /// Returns what this host says of itself.
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
            servers: directory.open_count() as u32,
            peers: self.shared.peer_count() as u32,
        }
    }

    fn chooser(&self) -> MutexGuard<'_, Box<dyn ServerChooser>> {
        self.chooser.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
