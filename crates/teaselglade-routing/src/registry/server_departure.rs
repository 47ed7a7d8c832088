//! Departures of servers, as hosts gossip them and as the store records them.

use serde::{Deserialize, Serialize};

use super::StorePosition;

/// Removal of a server's registration, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRemoval {
    /// Name of the server.
    pub id: String,
    /// Position of the removal in the store.
    pub position: StorePosition,
}

/// Departure of one incarnation of a server, as gossiped between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDeparture {
    /// Name of the server.
    pub id: String,
    /// Start time of the incarnation in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// Number of the last heartbeat that was seen.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether the registration is removed as well, without a drain.
    pub is_removed: bool,
    /// Position of the last registration that was seen.
    #[serde(rename = "pos", default)]
    pub registered_at: StorePosition,
    /// Position of the removal, if the registration is removed.
    #[serde(rename = "gone", default)]
    pub removed_at: StorePosition,
}
