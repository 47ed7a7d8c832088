//! What the parts of a host share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{SystemTime, UNIX_EPOCH};

use teaselglade_core::port::ClockPort;
use teaselglade_core::time::Timestamp;
use teaselglade_net::clock::SystemClock;
use teaselglade_routing::gossip::PeerAddress;
use teaselglade_routing::table::RouteTable;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use super::{ActiveTable, DecisionState, HostPorts};
use crate::journal::DecisionLog;
use crate::metrics::HostMetrics;
use crate::port::PublishedTable;
use crate::settings::HostSettings;
use crate::upstream::ConnectionPool;

const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// What the parts of a host share.
#[derive(Debug)]
pub struct HostState {
    /// Settings.
    pub settings: HostSettings,
    /// Ports.
    pub ports: HostPorts,
    /// Counters.
    pub metrics: HostMetrics,
    /// Lines of decisions on requests.
    pub log: DecisionLog,
    /// Connections to servers.
    pub pool: ConnectionPool,
    /// Cancelled when the host begins to stop.
    pub stopping: CancellationToken,
    /// Time of the start in Unix microseconds; it tells incarnations apart.
    pub started_at_us: u64,
    clock: SystemClock,
    table: RwLock<Option<Arc<ActiveTable>>>,
    decisions: Mutex<DecisionState>,
    split_samples: AtomicU64,
    /// Calls to the platform that fail at present, and since when.
    failing_calls: Mutex<HashMap<&'static str, Timestamp>>,
}

impl HostState {
    /// Makes the state of a host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Fails where counters cannot be registered.
    pub fn new(settings: HostSettings, ports: HostPorts) -> prometheus::Result<Arc<Self>> {
        let log = DecisionLog::new(settings.log.lines_per_second);
        let clock = SystemClock::start();
        let started_at_us = clock.now().as_micros();
        let decisions = Mutex::new(DecisionState::new(&settings, started_at_us));
        Ok(Arc::new(Self {
            settings,
            ports,
            metrics: HostMetrics::new()?,
            log,
            pool: ConnectionPool::default(),
            stopping: CancellationToken::new(),
            started_at_us,
            clock,
            table: RwLock::new(None),
            decisions,
            split_samples: AtomicU64::new(started_at_us % 1_000),
            failing_calls: Mutex::default(),
        }))
    }

    /// Returns by which name and where peers find this host.
    #[must_use]
    pub fn own_address(&self) -> PeerAddress {
        PeerAddress {
            name: self.settings.name.clone(),
            address: self.settings.listen.peers,
        }
    }

    /// Returns the present time on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns a number from 0 to 1, by which a request's service is drawn.
    #[must_use]
    pub fn next_split_sample(&self) -> f64 {
        let number = self.split_samples.fetch_add(1, Ordering::Relaxed);
        // Multiples of the golden ratio fill the range evenly, so that shares hold for few requests.
        ((number as f64 + 1.0) * GOLDEN_RATIO).fract()
    }

    /// Returns the present wall time, which may jump.
    #[must_use]
    pub fn wall_time() -> Timestamp {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Timestamp::ZERO + since_epoch.unwrap_or_default()
    }

    /// Returns the decision machines; the guard must not be held across a wait.
    pub fn lock_decisions(&self) -> MutexGuard<'_, DecisionState> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<ActiveTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Returns the version of the table in force, or 0.
    #[must_use]
    pub fn table_version(&self) -> u64 {
        self.table().map_or(0, |held| held.table.version())
    }

    /// Puts a version of the table in force where it is newer; returns whether it was.
    pub fn activate_table(&self, published: PublishedTable, source: &str) -> bool {
        let version = published.spec.version;
        let mut slot = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let held = slot.as_ref().map_or(0, |held| held.table.version());
        if slot.is_some() && version <= held {
            return false;
        }
        let table = RouteTable::new(published.spec);
        self.lock_decisions()
            .quotas
            .set_quotas(self.now(), &table.spec().organisations);
        *slot = Some(Arc::new(ActiveTable {
            table,
            raw: published.raw,
        }));
        drop(slot);
        self.metrics.table_version.set(version.cast_signed());
        info!(event = "table_in_force", version, before = held, source);
        true
    }

    /// Returns whether the host can serve: it has a table and knows servers, and does not stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.table().is_some()
            && self.lock_decisions().registry_updated_at > Timestamp::ZERO
    }

    /// Returns whether this host reads the store, for all or as no collecting host tells it news.
    #[must_use]
    pub fn is_store_reader(&self) -> bool {
        let now = self.now();
        let decisions = self.lock_decisions();
        decisions.membership.is_store_reader(now) || decisions.lacks_aggregate(now)
    }

    /// Takes in what came of a call to the platform, as [`HostState::record_call`] does.
    pub fn record_result<T, E: std::fmt::Display>(&self, call: &'static str, ended: &Result<T, E>) {
        let error = ended.as_ref().err();
        self.record_call(call, error.map(|error| error as &dyn std::fmt::Display));
    }

    /// Counts a call to the platform and logs where a dependency was lost or regained.
    pub fn record_call(&self, call: &'static str, error: Option<&dyn std::fmt::Display>) {
        let outcome = if error.is_some() { "failed" } else { "ok" };
        let counter = &self.metrics.platform_calls;
        counter.with_label_values(&[call, outcome]).inc();
        let mut lost = self
            .failing_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match (error, lost.contains_key(call)) {
            (Some(error), false) => {
                warn!(event = "dependency_lost", call, error = %error);
                lost.insert(call, self.now());
            }
            (None, true) => {
                let since = lost.remove(call).unwrap_or_default();
                let away_ms = self.now().since(since).as_millis() as u64;
                info!(event = "dependency_regained", call, away_ms);
            }
            _ => {}
        }
    }
}
