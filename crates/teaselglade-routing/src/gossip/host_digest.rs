//! The digest that a host sends to its peers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::crash::SubjectEvidence;
use crate::engine::{CachedPart, EngineLoad};
use crate::quota::PeerSpend;
use crate::registry::{ServerDeparture, ServerRegistration};
use crate::usage::WindowCounts;

/// Name and address at which a host receives digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the host.
    pub name: String,
    /// Address for datagrams and calls of peers.
    pub address: SocketAddr,
}

/// Prefill demand of one host's callers for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// Prompt tokens requested per second.
    #[serde(rename = "tokens")]
    pub tokens_per_second: f64,
}

/// State of one host, sent to its peers several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostDigest {
    /// Name and address of the host.
    pub host: PeerAddress,
    /// Start time in Unix microseconds; it identifies the incarnation.
    #[serde(rename = "start")]
    pub started_at_us: u64,
    /// Sequence number of the digest within the incarnation.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Version of the sender's active table; 0 if it has none.
    #[serde(rename = "table")]
    pub table_version: u64,
    /// Whether the sender can currently reach the store.
    #[serde(rename = "reads_store")]
    pub store_reachable: bool,
    /// Whether the sender is the leader.
    #[serde(rename = "holds_duties")]
    pub is_leader: bool,
    /// Age of the registration data that a receiver may claim, in milliseconds.
    #[serde(rename = "news_age_ms")]
    pub update_age_ms: u64,
    /// Registrations that changed recently.
    #[serde(rename = "news")]
    pub updates: Vec<ServerRegistration>,
    /// Quota spent by the sender, by organisation.
    pub spend: PeerSpend,
    /// Load that the sender placed on each engine.
    pub loads: Vec<EngineLoad>,
    /// Prompt prefix parts that the sender recently placed on engines.
    #[serde(rename = "placed")]
    pub cached_parts: Vec<CachedPart>,
    /// Prefill demand of the sender's callers, by service.
    pub demand: Vec<ServiceDemand>,
    /// Requests that began to run at the sender, by usage window.
    pub usage: Vec<WindowCounts>,
    /// Decided usage reports, if the sender is the leader.
    ///
    /// Its successor writes them again if the log loses them.
    #[serde(rename = "decided", default)]
    pub decided_reports: Vec<WindowCounts>,
    /// Recent server departures known to the sender.
    pub departures: Vec<ServerDeparture>,
    /// Name hash of the aggregator from which the sender requests aggregate digests, if any.
    #[serde(rename = "asks")]
    pub requested_aggregator: Option<u64>,
    /// Sample of the hosts known to the sender; may be empty.
    pub peers: Vec<PeerAddress>,
    /// Data centre of the sender.
    #[serde(default)]
    pub zone: String,
    /// Evidence on subjects under which servers ended.
    ///
    /// Left out while there is none, so that hosts of earlier builds read the digest.
    #[serde(rename = "crashes", default, skip_serializing_if = "Vec::is_empty")]
    pub crash_evidence: Vec<SubjectEvidence>,
}
