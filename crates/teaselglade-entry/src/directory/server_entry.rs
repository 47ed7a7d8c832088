//! Directory entry of one backend server.

use std::net::SocketAddr;

use teaselglade_core::id::{HostName, ServerKey};
use teaselglade_core::port::ListedHost;

/// Holds what the host list says about one backend server.
#[derive(Debug, Clone)]
pub(crate) struct ServerEntry {
    /// Key of the server.
    pub(crate) key: ServerKey,
    /// Host of the server.
    pub(crate) host: HostName,
    /// Address of the server.
    pub(crate) address: SocketAddr,
    /// Service of the server.
    pub(crate) service: String,
    /// Data centre of the server.
    pub(crate) zone: String,
    /// Hardware class of the server.
    pub(crate) class: String,
    /// Price in euro cents per hour.
    pub(crate) cents_per_hour: f64,
    /// Whether the platform can reclaim the host.
    pub(crate) reclaimable: bool,
    /// Whether the host is leaving; once true, it stays true.
    pub(crate) leaving: bool,
    /// Whether the host is missing from the latest host list.
    pub(crate) is_unlisted: bool,
}

impl ServerEntry {
    /// Creates the entry of a listed host.
    pub(crate) fn new(key: ServerKey, host: ListedHost) -> Self {
        Self {
            key,
            host: host.name,
            address: host.address,
            service: host.service,
            zone: host.zone,
            class: host.class,
            cents_per_hour: host.cents_per_hour,
            reclaimable: host.reclaimable,
            leaving: host.leaving,
            is_unlisted: false,
        }
    }

    /// Returns whether the server accepts new requests.
    pub(crate) const fn is_available(&self) -> bool {
        !self.leaving && !self.is_unlisted
    }
}
