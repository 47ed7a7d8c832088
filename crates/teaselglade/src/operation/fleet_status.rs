//! Fetches the status of every entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use futures::StreamExt;
use futures::stream;
use serde::Serialize;
use teaselglade_core::port::{HostListPort, ListedHost, ListedRole};
use teaselglade_net::client::{HttpClient, HttpRequest};
use teaselglade_net::platform::HostListClient;
use teaselglade_wire::HostStatus;
use teaselglade_wire::codec::from_json;

const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_PARALLEL_REQUESTS: usize = 32;

/// Status of one entry host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HostReport {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub zone: String,
    /// Status as the host reports it, or `None` if it did not respond in time.
    pub status: Option<HostStatus>,
}

/// Status of all entry hosts in the host list.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Lowest active table version of the hosts that responded, or `None` if none did.
    pub lowest_version: Option<u64>,
    /// Number of hosts that did not respond.
    pub silent: usize,
    /// Hosts, sorted by name.
    pub hosts: Vec<HostReport>,
}

impl FleetStatus {
    /// Fetches the status of every entry host in the host list at the address `host_list`.
    ///
    /// # Errors
    ///
    /// Returns an error if the host list cannot be read.
    pub async fn fetch(host_list: SocketAddr) -> Result<Self> {
        let http = Arc::new(HttpClient::default());
        let listed = HostListClient::new(Arc::clone(&http), host_list)
            .hosts()
            .await?;
        let entries = listed
            .into_iter()
            .filter(|host| host.role == ListedRole::Entry);
        let requests = entries
            .map(|host| fetch_status(&http, host))
            .collect::<Vec<_>>();
        let mut hosts = stream::iter(requests)
            .buffer_unordered(MAX_PARALLEL_REQUESTS)
            .collect::<Vec<_>>()
            .await;
        hosts.sort_by(|left, right| left.host.cmp(&right.host));
        Ok(Self::from_reports(hosts))
    }

    fn from_reports(hosts: Vec<HostReport>) -> Self {
        let statuses = hosts.iter().filter_map(|host| host.status.as_ref());
        Self {
            lowest_version: statuses.map(|status| status.table_version).min(),
            silent: hosts.iter().filter(|host| host.status.is_none()).count(),
            hosts,
        }
    }
}

async fn fetch_status(http: &HttpClient, host: ListedHost) -> HostReport {
    let request = HttpRequest::get(host.address, "/status").head_timeout(STATUS_TIMEOUT);
    let response = http.call(request).await.ok();
    HostReport {
        host: host.name.to_string(),
        zone: host.zone,
        status: response.and_then(|response| from_json(&response.body).ok()),
    }
}
