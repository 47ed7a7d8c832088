//! One running control daemon.

use std::net::SocketAddr;
use std::sync::Arc;

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
use crate::work::{ControlPorts, ControlWork, TableFollower, TermCell, WorkEvent, follow_table};

const QUEUED_EVENTS: usize = 1_024;

/// Addresses that a daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Address for operators.
    pub control: SocketAddr,
}

/// One running control daemon.
#[derive(Debug)]
pub struct ControlDaemon {
    addresses: DaemonAddresses,
    server: ServerHandle,
    stop: watch::Sender<bool>,
    work: JoinHandle<()>,
    follower: JoinHandle<()>,
}

impl ControlDaemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails where its address cannot be bound.
    pub async fn start(settings: ControlSettings) -> Result<Self> {
        let listener = HttpServer::bind(settings.control).await?;
        let addresses = DaemonAddresses {
            control: listener.address()?,
        };
        let metrics = Arc::new(ControlMetrics::new()?);
        let ports = Arc::new(ControlPorts::connect(&settings));
        let term = Arc::new(TermCell::default());
        let (events, received) = mpsc::channel(QUEUED_EVENTS);
        let mut random = start_random();
        let follower = TableFollower {
            cluster: settings.cluster.clone(),
            keeper: SnapshotScheduler::new(settings.retention, random.random()),
            ports: Arc::clone(&ports),
            metrics: Arc::clone(&metrics),
            term: Arc::clone(&term),
            events: events.clone(),
        };
        let server = listener.start(operator_router(&metrics));
        let work = new_work(settings, ports, metrics, term, events, &mut random);
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
            work: tokio::spawn(work.run(received, stopped)),
            follower: tokio::spawn(follow_table(follower)),
        })
    }

    /// Returns the addresses that the daemon listens on.
    #[must_use]
    pub const fn addresses(&self) -> &DaemonAddresses {
        &self.addresses
    }

    /// Stops gracefully: ends calls in progress and gives up the lease.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // Work that panicked has nothing left to wait for.
        let _ended = self.work.await;
        self.follower.abort();
        self.server.stop().await;
        log::info!("control daemon stopped");
    }

    /// Ends the daemon at once, as a crash would.
    pub fn abort(self) {
        self.work.abort();
        self.follower.abort();
        self.server.abort();
    }
}

/// Returns a random source that no other start of a process shares.
fn start_random() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(Uuid::now_v7().as_u128() as u64)
}

fn new_work(
    settings: ControlSettings,
    ports: Arc<ControlPorts>,
    metrics: Arc<ControlMetrics>,
    term: Arc<TermCell>,
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
        open_calls: 0,
        open_appends: 0,
        is_stopping: false,
    }
}
