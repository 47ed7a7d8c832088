//! Adapter to the platform's host list.

use std::net::SocketAddr;
use std::sync::Arc;

use log::debug;
use serde::Deserialize;
use serde_json::value::RawValue;
use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::{AttemptError, HostListPort, ListedHost, ListedRole, PortFuture};
use teaselglade_core::verdict::SendProgress;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{HostEntry, HostRole};

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
        let entries = from_json::<RawEntries>(&response.body);
        let entries = entries.map_err(|error| list_error(error.to_string()))?;
        let hosts = entries.hosts.iter().filter_map(|raw| {
            listed_host(raw)
                .inspect_err(|error| debug!("passed over an entry of the host list: {error}"))
                .ok()
        });
        Ok(hosts.collect())
    }
}

/// Host list whose entries are decoded one by one, as one of them may name no host.
#[derive(Debug, Deserialize)]
struct RawEntries {
    hosts: Vec<Box<RawValue>>,
}

impl HostListPort for HostListClient {
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, AttemptError>> {
        Box::pin(self.read_hosts())
    }
}

fn list_error(detail: String) -> AttemptError {
    AttemptError::new(SendProgress::MaybeSent, detail)
}

/// Decodes an entry of the host list.
///
/// # Errors
///
/// Returns an error if the entry names no host to use.
fn listed_host(raw: &RawValue) -> Result<ListedHost, AttemptError> {
    let entry = from_json::<HostEntry>(raw.get().as_bytes());
    let entry = entry.map_err(|error| list_error(error.to_string()))?;
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
