//! Port to the platform's host list.

use std::fmt::Debug;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{AttemptError, PortFuture};
use crate::id::{HostIncarnation, HostName};

crate::value_type! {
    /// What a listed host runs.
    pub enum ListedRole {
        /// Entry daemon and control daemon of this system.
        Entry,
        /// Backend server.
        Backend,
    }
}

/// One host of the host list; the list lags.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// Start number of the host.
    pub incarnation: HostIncarnation,
    /// What the host runs.
    pub role: ListedRole,
    /// Address that the host serves on; for an entry host, its peer address.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub zone: String,
    /// Hardware class of the host.
    pub class: String,
    /// Service of a backend server; empty for an entry host.
    pub service: String,
    /// Price in euro cents an hour.
    pub cents_per_hour: f64,
    /// Whether the platform can take the host back.
    pub reclaimable: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// The platform's host list.
pub trait HostListPort: Debug + Send + Sync {
    /// Returns all hosts that the list shows.
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, AttemptError>>;
}
