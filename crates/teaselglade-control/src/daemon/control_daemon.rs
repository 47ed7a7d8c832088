//! Startup and shutdown of a control daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use teaselglade_net::server::{HttpServer, ServerHandle};
use teaselglade_state::audit::{AuditLimits, AuditWriter};
use teaselglade_state::control::{ControlLimits, ControlOptions, ControlPlanner};
use teaselglade_state::lease::{LeaseHolder, LeaseIdentity};
use teaselglade_state::table::SnapshotScheduler;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use uuid::Uuid;

use super::Result;
use super::operator_routes::operator_router;
use crate::metrics::ControlMetrics;
use crate::settings::ControlSettings;
use crate::work::{ControlPorts, ControlWork, SharedTerm, TableFollower, WorkEvent, follow_table};

const MAX_QUEUED_EVENTS: usize = 1_024;
/// Longest wait at a stop for the last responses of the operator routes, each of a few milliseconds.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses that a control daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Address of the operator routes: health, readiness and metrics.
    pub control: SocketAddr,
}

/// Running control daemon.
#[derive(Debug)]
pub struct ControlDaemon {
    addresses: DaemonAddresses,
    server: ServerHandle,
    stop: watch::Sender<bool>,
    work: JoinHandle<()>,
    follower: JoinHandle<()>,
}

impl ControlDaemon {
    /// Starts a daemon with these settings.
    ///
    /// # Errors
    ///
    /// Returns an error if its address cannot be bound or its metrics cannot be registered.
    pub async fn start(settings: ControlSettings) -> Result<Self> {
        let listener = HttpServer::bind(settings.control).await?;
        let addresses = DaemonAddresses {
            control: listener.address()?,
        };
        let metrics = Arc::new(ControlMetrics::new()?);
        let ports = Arc::new(ControlPorts::connect(&settings));
        let term = Arc::new(SharedTerm::default());
        let (events, queue) = mpsc::channel(MAX_QUEUED_EVENTS);
        let mut random = new_random();
        let follower = TableFollower {
            cluster: settings.cluster.clone(),
            scheduler: SnapshotScheduler::new(settings.retention, random.random()),
            ports: Arc::clone(&ports),
            metrics: Arc::clone(&metrics),
            term: Arc::clone(&term),
            events: events.clone(),
        };
        let server = listener.start(operator_router(&metrics));
        let work = build_work(settings, ports, metrics, term, events, &mut random);
        let (stop, stopped) = watch::channel(false);
        log::info!(
            "control daemon {} listens on {}",
            work.host,
            addresses.control
        );
        Ok(Self {
            addresses,
            server,
            stop,
            work: tokio::spawn(work.run(queue, stopped)),
            follower: tokio::spawn(follow_table(follower)),
        })
    }

    /// Returns the addresses that the daemon listens on.
    #[must_use]
    pub const fn addresses(&self) -> &DaemonAddresses {
        &self.addresses
    }

    /// Stops gracefully: waits for calls in flight, then releases the lease.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // An error means that the task panicked; there is nothing left to stop.
        let _joined = self.work.await;
        self.follower.abort();
        if !self.server.stop_within(SERVER_STOP_TIMEOUT).await {
            log::warn!(
                "a caller's connection was still open {SERVER_STOP_TIMEOUT:?} after the stop"
            );
        }
        log::info!("control daemon stopped");
    }

    /// Stops the daemon at once without releasing the lease, as a crash would.
    pub fn abort(self) {
        self.work.abort();
        self.follower.abort();
        self.server.abort();
    }
}

/// Creates a random number generator whose seed differs between any two process starts.
fn new_random() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(Uuid::now_v7().as_u128() as u64)
}

fn build_work(
    settings: ControlSettings,
    ports: Arc<ControlPorts>,
    metrics: Arc<ControlMetrics>,
    term: Arc<SharedTerm>,
    events: mpsc::Sender<WorkEvent>,
    random: &mut Pcg64Mcg,
) -> ControlWork {
    let start = random.random();
    let identity = LeaseIdentity {
        host: settings.host.clone(),
        start,
    };
    let planner = ControlPlanner::new(ControlOptions {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        offers: settings.offers,
        profiles: settings.profiles,
        limits: ControlLimits::default(),
        seed: random.random(),
    });
    let writer = format!("{}/{start:016x}", settings.host);
    ControlWork {
        host: settings.host,
        zone: settings.zone,
        holder: LeaseHolder::new(identity, settings.lease, random.random()),
        planner,
        writer: AuditWriter::new(writer, AuditLimits::default()),
        ports,
        metrics,
        term,
        events,
        calls_in_flight: 0,
        appends_in_flight: 0,
        is_stopping: false,
    }
}
