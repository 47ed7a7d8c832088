//! What one host tells its peers several times a second.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::engine::{CachedPart, EngineLoad};
use crate::quota::PeerSpend;
use crate::registry::{ServerDeparture, ServerRegistration};
use crate::usage::WindowCounts;

/// Where a host takes digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the host.
    pub name: String,
    /// Address for datagrams and calls of peers.
    pub address: SocketAddr,
}

/// Prompt tokens that callers of one host ask to have read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Service.
    pub service: String,
    /// Tokens a second.
    #[serde(rename = "tokens")]
    pub tokens_per_second: f64,
}

/// What one host tells its peers several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostDigest {
    /// Name and address of the host.
    pub host: PeerAddress,
    /// Time of its start in Unix microseconds; it tells incarnations apart.
    #[serde(rename = "start")]
    pub started_at_us: u64,
    /// Number of the digest within the incarnation.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Version of the table in force there; 0 for none.
    #[serde(rename = "table")]
    pub table_version: u64,
    /// Whether the store answers this host at present.
    #[serde(rename = "reads_store")]
    pub store_reachable: bool,
    /// Whether the host holds the duties.
    #[serde(rename = "holds_duties")]
    pub is_leader: bool,
    /// Age of the host's latest news of servers, in milliseconds.
    #[serde(rename = "news_age_ms")]
    pub update_age_ms: u64,
    /// Entries of servers that changed lately.
    #[serde(rename = "news")]
    pub updates: Vec<ServerRegistration>,
    /// What it admitted of quotas.
    pub spend: PeerSpend,
    /// What it has at engines.
    pub loads: Vec<EngineLoad>,
    /// Where it sent prompts lately.
    #[serde(rename = "placed")]
    pub cached_parts: Vec<CachedPart>,
    /// Prompt tokens that its callers ask to have read.
    pub demand: Vec<ServiceDemand>,
    /// What began to run there.
    pub usage: Vec<WindowCounts>,
    /// Servers that leave, as far as it heard lately.
    pub departures: Vec<ServerDeparture>,
    /// Hash of the name of the collecting host that is to serve it; none where it asks nobody.
    #[serde(rename = "asks")]
    pub requested_aggregator: Option<u64>,
    /// Some of the hosts that it knows.
    pub peers: Vec<PeerAddress>,
}
