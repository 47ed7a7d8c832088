//! Backend servers of a fleet.

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

const PLAIN_WORK_TIME: Duration = Duration::from_millis(15);
const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[derive(Debug)]
struct RunningBackend {
    server: ServerHandle,
    engine: Option<(Arc<EngineServer>, JoinHandle<()>)>,
}

/// Runs the backend servers of a fleet, each on its own port.
#[derive(Debug)]
pub struct BackendPool {
    plain_services: Vec<String>,
    registry: Arc<HostRegistry>,
    execution_counts: Arc<Mutex<ExecutionCounts>>,
    backends: Mutex<HashMap<String, RunningBackend>>,
}

impl BackendPool {
    /// Creates an empty pool that adds its hosts to `registry`.
    ///
    /// Hosts ordered for a service in `plain_services` run plain servers, all others run engines.
    #[must_use]
    pub fn new(registry: Arc<HostRegistry>, plain_services: Vec<String>) -> Arc<Self> {
        let (execution_counts, backends) = (Arc::default(), Mutex::default());
        Arc::new(Self {
            plain_services,
            registry,
            execution_counts,
            backends,
        })
    }

    /// Starts a planned server and returns its address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_server(&self, planned: &PlannedServer) -> std::io::Result<SocketAddr> {
        let server = HttpServer::bind(ANY_LOOPBACK_PORT).await?;
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

    /// Returns the total executions of all plain servers.
    #[must_use]
    pub fn executions(&self) -> ExecutionCounts {
        self.execution_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn serve(&self, server: HttpServer, planned: &PlannedServer) -> RunningBackend {
        if planned.is_plain {
            let router = plain_router(PLAIN_WORK_TIME, &self.execution_counts);
            return RunningBackend {
                server: server.start(router),
                engine: None,
            };
        }
        let engine = EngineServer::new(EngineProfile::for_class(&planned.class));
        let task = tokio::spawn(Arc::clone(&engine).run());
        let handle = server.start(engine_router(&engine));
        RunningBackend {
            server: handle,
            engine: Some((engine, task)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, RunningBackend>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BackendPool {
    /// Starts a server that was ordered at the cloud API.
    async fn start_ordered(self: Arc<Self>, planned: PlannedServer, purchase: PurchaseKind) {
        if let Err(error) = self.start_server(&planned).await {
            log::error!("failed to start host {}: {error}", planned.name);
            return;
        }
        log::info!("host {} started ({purchase})", planned.name);
    }
}

/// Starts and stops servers of a pool for the cloud API.
#[derive(Debug)]
pub(super) struct PoolStarter(pub(super) Arc<BackendPool>);

impl HostStarter for PoolStarter {
    fn start(&self, name: &str, order: &CloudOrder) {
        let planned = PlannedServer {
            name: name.to_owned(),
            is_plain: self.0.plain_services.contains(&order.service),
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
