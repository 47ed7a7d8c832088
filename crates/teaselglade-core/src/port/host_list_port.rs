//! Port to the platform's host list.

use std::fmt::Debug;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{AttemptError, PortFuture};
use crate::id::{HostIncarnation, HostName};

crate::value_type! {
    /// Role of a listed host.
    pub enum ListedRole {
        /// Entry daemon and control daemon of this system.
        Entry,
        /// Backend server.
        Backend,
    }
}

/// Host in the host list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// Incarnation number of the host.
    pub incarnation: HostIncarnation,
    /// Role of the host.
    pub role: ListedRole,
    /// Address on which the host serves; the peer address of an entry host.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub zone: String,
    /// Hardware class of the host.
    pub class: String,
    /// Service of a backend server; empty for an entry host.
    pub service: String,
    /// Price in euro cents per hour.
    pub cents_per_hour: f64,
    /// Whether the platform can reclaim the host.
    pub reclaimable: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Client of the platform's host list.
pub trait HostListPort: Debug + Send + Sync {
    /// Returns all listed hosts.
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, AttemptError>>;
}
