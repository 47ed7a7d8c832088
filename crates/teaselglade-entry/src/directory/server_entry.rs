//! One backend server.

use std::net::SocketAddr;

use teaselglade_core::id::{HostName, ServerKey};
use teaselglade_core::port::ListedHost;

/// One backend server in the arena.
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
    /// Price in euro cents an hour.
    pub(crate) cents_per_hour: f64,
    /// Whether the platform can take the host back.
    pub(crate) reclaimable: bool,
    /// Whether the host is leaving; it never becomes false again.
    pub(crate) leaving: bool,
    /// Whether the host list dropped the host.
    pub(crate) gone: bool,
}

impl ServerEntry {
    /// Makes the entry of a listed host.
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
            gone: false,
        }
    }

    /// Returns whether the server takes new work.
    pub(crate) const fn is_open(&self) -> bool {
        !self.leaving && !self.gone
    }
}
