//! Backend servers of a fleet, each on its own port.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use teaselglade_net::server::{HttpServer, ServerHandle};
use teaselglade_wire::{CloudOrder, HostEntry, HostRole, PurchaseKind};
use tokio::task::JoinHandle;

use super::{PlannedServer, class_cents_per_hour};
use crate::cloud::HostStarter;
use crate::engine::{EngineProfile, EngineServer, engine_router};
use crate::host_list::HostRegistry;
use crate::plain::{ExecutionCounts, plain_router};

const PLAIN_WORK: Duration = Duration::from_millis(15);
const LOOPBACK_ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[derive(Debug)]
struct RunningBackend {
    server: ServerHandle,
    engine: Option<(Arc<EngineServer>, JoinHandle<()>)>,
}

/// Backend servers of a fleet, each on its own port.
#[derive(Debug)]
pub struct BackendPool {
    plain_services: Vec<String>,
    registry: Arc<HostRegistry>,
    counts: Arc<Mutex<ExecutionCounts>>,
    running: Mutex<HashMap<String, RunningBackend>>,
}

impl BackendPool {
    /// Makes an empty pool that shows its hosts in `registry`.
    #[must_use]
    pub fn new(registry: Arc<HostRegistry>, plain_services: Vec<String>) -> Arc<Self> {
        let (counts, running) = (Arc::default(), Mutex::default());
        Arc::new(Self {
            plain_services,
            registry,
            counts,
            running,
        })
    }

    /// Starts a planned server.
    ///
    /// # Errors
    ///
    /// Fails where no port can be bound.
    pub async fn start_server(&self, planned: &PlannedServer) -> std::io::Result<SocketAddr> {
        let server = HttpServer::bind(LOOPBACK_ANY).await?;
        let address = server.address()?;
        let backend = self.serve(server, planned);
        self.lock().insert(planned.name.clone(), backend);
        self.registry.put(HostEntry {
            name: planned.name.clone(),
            incarnation: 1,
            role: HostRole::Backend,
            address: address.to_string(),
            zone: planned.zone.clone(),
            class: planned.class.clone(),
            service: planned.service.clone(),
            cents_per_hour: class_cents_per_hour(&planned.class),
            reclaimable: true,
            leaving: false,
        });
        Ok(address)
    }

    /// Returns the executions of all plain servers together.
    #[must_use]
    pub fn executions(&self) -> ExecutionCounts {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn serve(&self, server: HttpServer, planned: &PlannedServer) -> RunningBackend {
        if planned.plain {
            let router = plain_router(PLAIN_WORK, &self.counts);
            return RunningBackend {
                server: server.start(router),
                engine: None,
            };
        }
        let engine = EngineServer::new(EngineProfile::of_class(&planned.class));
        let task = tokio::spawn(Arc::clone(&engine).run());
        let handle = server.start(engine_router(&engine));
        RunningBackend {
            server: handle,
            engine: Some((engine, task)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, RunningBackend>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BackendPool {
    /// Starts a server that the cloud API was asked for.
    async fn start_ordered(self: Arc<Self>, planned: PlannedServer, purchase: PurchaseKind) {
        if let Err(error) = self.start_server(&planned).await {
            log::error!("host {} did not start: {error}", planned.name);
            return;
        }
        log::info!("host {} started ({purchase})", planned.name);
    }
}

/// Starts hosts of a pool for the cloud API.
#[derive(Debug)]
pub(super) struct PoolStarter(pub(super) Arc<BackendPool>);

impl HostStarter for PoolStarter {
    fn start(&self, name: &str, order: &CloudOrder) {
        let planned = PlannedServer {
            name: name.to_owned(),
            plain: self.0.plain_services.contains(&order.service),
            service: order.service.clone(),
            zone: order.zone.clone(),
            class: order.class.clone(),
        };
        tokio::spawn(Arc::clone(&self.0).start_ordered(planned, order.purchase));
    }

    fn announce(&self, name: &str) {
        self.0.registry.mark_leaving(name);
    }

    fn stop(&self, name: &str) {
        self.0.registry.remove(name);
        let Some(backend) = self.0.lock().remove(name) else {
            return;
        };
        backend.server.abort();
        if let Some((_, task)) = backend.engine {
            task.abort();
        }
    }
}
