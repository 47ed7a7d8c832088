//! State that a host fetches from a peer.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselglade_routing::crash::SubjectEvidence;
use teaselglade_routing::registry::{ServerDeparture, ServerRegistration};

/// Table and servers known to a host, returned to a peer that fetches them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// Version of the active table; 0 if there is none.
    pub version: u64,
    /// Table as published; empty if the peer already has this version.
    pub table: Bytes,
    /// Registrations of servers that accept new work.
    pub servers: Vec<ServerRegistration>,
    /// Departures of servers.
    pub departures: Vec<ServerDeparture>,
    /// Age of the newest registration data, in milliseconds.
    #[serde(rename = "news_age_ms")]
    pub update_age_ms: u64,
    /// Evidence on subjects under which servers ended.
    #[serde(rename = "crashes", default)]
    pub crash_evidence: Vec<SubjectEvidence>,
}
