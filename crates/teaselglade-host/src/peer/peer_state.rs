//! What a host knows that a peer may lack.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselglade_routing::registry::{ServerDeparture, ServerRegistration};

/// What a host knows that a peer may lack.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// Version of the table; 0 for none.
    pub version: u64,
    /// Table as published; empty where the peer has this version.
    pub table: Bytes,
    /// Servers that take work.
    pub servers: Vec<ServerRegistration>,
    /// Servers that leave.
    pub departures: Vec<ServerDeparture>,
    /// Age of the latest registration update, in milliseconds.
    #[serde(rename = "news_age_ms")]
    pub update_age_ms: u64,
}
