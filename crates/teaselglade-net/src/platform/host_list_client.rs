//! Adapter to the platform's host list.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::{AttemptError, HostListPort, ListedHost, ListedRole, PortFuture};
use teaselglade_core::verdict::SendProgress;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{HostEntries, HostEntry, HostRole};

use crate::client::{HttpClient, HttpRequest};

/// Client of the platform's host list.
#[derive(Debug)]
pub struct HostListClient {
    client: Arc<HttpClient>,
    address: SocketAddr,
}

impl HostListClient {
    /// Creates a client of the host list at `address`.
    #[must_use]
    pub const fn new(client: Arc<HttpClient>, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn read_hosts(&self) -> Result<Vec<ListedHost>, AttemptError> {
        let response = self
            .client
            .call(HttpRequest::get(self.address, "/hosts"))
            .await?;
        if !response.is_success() {
            return Err(list_error(format!("status {}", response.status)));
        }
        let entries = from_json::<HostEntries>(&response.body);
        let entries = entries.map_err(|error| list_error(error.to_string()))?;
        entries.hosts.into_iter().map(listed_host).collect()
    }
}

impl HostListPort for HostListClient {
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, AttemptError>> {
        Box::pin(self.read_hosts())
    }
}

fn list_error(detail: String) -> AttemptError {
    AttemptError::new(SendProgress::MaybeSent, detail)
}

fn listed_host(entry: HostEntry) -> Result<ListedHost, AttemptError> {
    let address = entry.address.parse();
    let address = address.map_err(|_invalid| list_error(format!("address `{}`", entry.address)))?;
    let role = match entry.role {
        HostRole::Entry => ListedRole::Entry,
        HostRole::Backend => ListedRole::Backend,
    };
    Ok(ListedHost {
        name: HostName::new(entry.name),
        incarnation: HostIncarnation(entry.incarnation),
        role,
        address,
        zone: entry.zone,
        class: entry.class,
        service: entry.service,
        cents_per_hour: entry.cents_per_hour,
        reclaimable: entry.reclaimable,
        leaving: entry.leaving,
    })
}
