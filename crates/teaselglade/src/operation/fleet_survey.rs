//! Asks every entry host for its status.

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
const PARALLEL_CALLS: usize = 32;

/// Status of one entry host; none where it did not answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HostReport {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub zone: String,
    /// What the host says of itself.
    pub status: Option<HostStatus>,
}

/// Status of all entry hosts that the host list shows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetSurvey {
    /// Lowest table version in force at a host that answered; none where none did.
    pub lowest_version: Option<u64>,
    /// Hosts that did not answer.
    pub silent: usize,
    /// Hosts by name.
    pub hosts: Vec<HostReport>,
}

impl FleetSurvey {
    /// Asks the entry hosts that the host list at `host_list` shows.
    ///
    /// # Errors
    ///
    /// Fails where the host list cannot be read.
    pub async fn take(host_list: SocketAddr) -> Result<Self> {
        let caller = Arc::new(HttpClient::default());
        let listed = HostListClient::new(Arc::clone(&caller), host_list)
            .hosts()
            .await?;
        let entries = listed
            .into_iter()
            .filter(|host| host.role == ListedRole::Entry);
        let calls = entries.map(|host| ask(&caller, host)).collect::<Vec<_>>();
        let mut hosts = stream::iter(calls)
            .buffer_unordered(PARALLEL_CALLS)
            .collect::<Vec<_>>()
            .await;
        hosts.sort_by(|left, right| left.host.cmp(&right.host));
        Ok(Self::of(hosts))
    }

    fn of(hosts: Vec<HostReport>) -> Self {
        let answered = hosts.iter().filter_map(|host| host.status.as_ref());
        Self {
            lowest_version: answered.map(|status| status.table_version).min(),
            silent: hosts.iter().filter(|host| host.status.is_none()).count(),
            hosts,
        }
    }
}

async fn ask(caller: &HttpClient, host: ListedHost) -> HostReport {
    let call = HttpRequest::get(host.address, "/status").head_timeout(STATUS_TIMEOUT);
    let answer = caller.call(call).await.ok();
    HostReport {
        host: host.name.to_string(),
        zone: host.zone,
        status: answer.and_then(|answer| from_json(&answer.body).ok()),
    }
}
