//! Stand-ins for everything that one fleet depends on.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_net::server::{HttpServer, ServerHandle};
use teaselglade_wire::{CloudOrder, PurchaseKind};

use super::backend_pool::PoolStarter;
use super::{BackendPool, FleetPlan, class_cents_per_hour};
use crate::cloud::{CloudRegistry, cloud_router};
use crate::host_list::{HostRegistry, host_list_router};
use crate::log::{LogLimits, log_router};
use crate::weights::weight_router;

const HOST_START_TIME: Duration = Duration::from_millis(1_500);
const WEIGHT_FETCH_INTERVAL: Duration = Duration::from_millis(200);

/// Ports of the platform services; 0 selects any free port.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetPorts {
    /// Port of the log.
    pub log: u16,
    /// Port of the host list.
    pub host_list: u16,
    /// Port of the cloud API.
    pub cloud: u16,
    /// Port of the weight store.
    pub weights: u16,
}

/// Addresses of the platform services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetAddresses {
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
}

/// Runs the platform services and backend servers of one fleet.
#[derive(Debug)]
pub struct StandInFleet {
    /// Addresses of the platform services.
    pub addresses: FleetAddresses,
    /// Hosts of the host list.
    pub registry: Arc<HostRegistry>,
    /// Hosts and reclaim notices of the cloud API.
    pub cloud: Arc<CloudRegistry>,
    /// Backend servers.
    pub pool: Arc<BackendPool>,
    servers: Vec<ServerHandle>,
}

impl StandInFleet {
    /// Starts the platform services and all planned backend servers.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub async fn start(plan: &FleetPlan, ports: FleetPorts, limits: LogLimits) -> io::Result<Self> {
        let registry = Arc::new(HostRegistry::default());
        let plain_servers = plan.servers.iter().filter(|server| server.is_plain);
        let plain_services = plain_servers.map(|server| server.service.clone()).collect();
        let pool = BackendPool::new(Arc::clone(&registry), plain_services);
        let starter = Arc::new(PoolStarter(Arc::clone(&pool)));
        let cloud = CloudRegistry::new(starter, HOST_START_TIME);
        let log = bind(ports.log).await?;
        let host_list = bind(ports.host_list).await?;
        let cloud_server = bind(ports.cloud).await?;
        let weights = bind(ports.weights).await?;
        let addresses = FleetAddresses {
            log: log.address()?,
            host_list: host_list.address()?,
            cloud: cloud_server.address()?,
            weights: weights.address()?,
        };
        let servers = vec![
            log.start(log_router(limits)),
            host_list.start(host_list_router(&registry)),
            cloud_server.start(cloud_router(&cloud)),
            weights.start(weight_router(WEIGHT_FETCH_INTERVAL)),
        ];
        start_backends(plan, &pool, &cloud).await?;
        Ok(Self {
            addresses,
            registry,
            cloud,
            pool,
            servers,
        })
    }

    /// Aborts the platform services at once, as a crash would.
    pub fn abort(self) {
        for server in self.servers {
            server.abort();
        }
    }
}

async fn bind(port: u16) -> io::Result<HttpServer> {
    HttpServer::bind(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)).await
}

async fn start_backends(
    plan: &FleetPlan,
    pool: &Arc<BackendPool>,
    cloud: &Arc<CloudRegistry>,
) -> io::Result<()> {
    for server in &plan.servers {
        pool.start_server(server).await?;
        let order = CloudOrder {
            token: format!("planned-{}", server.name),
            service: server.service.clone(),
            zone: server.zone.clone(),
            class: server.class.clone(),
            purchase: PurchaseKind::Reclaimable,
        };
        cloud.add_running(&server.name, order, class_cents_per_hour(&server.class));
    }
    Ok(())
}
