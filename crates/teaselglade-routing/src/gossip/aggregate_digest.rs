//! What a collecting host tells the hosts of a large fleet.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{HostDigest, PeerAddress};
use crate::engine::{CachedPart, EngineLoad};
use crate::quota::FleetSpend;
use crate::registry::{ServerDeparture, ServerRegistration};

/// One of the hosts that go first by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateHost {
    /// Name and address.
    pub host: PeerAddress,
    /// Time of its start in Unix microseconds.
    #[serde(rename = "start")]
    pub started_at_us: u64,
    /// Milliseconds since the teller knows it to have been there.
    #[serde(rename = "heard_ms")]
    pub last_seen_ms: u64,
    /// Whether the store answers it.
    #[serde(rename = "reads_store")]
    pub store_reachable: bool,
    /// Whether it holds the duties.
    #[serde(rename = "holds_duties")]
    pub is_leader: bool,
}

/// What a collecting host tells the hosts of a large fleet.
///
/// In a large fleet every host sends its digest to three collectors, which add up what they hear;
/// so messages for each host do not grow with the fleet. Collectors keep nothing: any host takes
/// the place of one that is gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AggregateDigest {
    /// The hosts that go first by name, the sender included.
    #[serde(rename = "leaders")]
    pub candidates: Vec<CandidateHost>,
    /// Version of the table in force at the sender.
    #[serde(rename = "table")]
    pub table_version: u64,
    /// Address from which a newer table is had.
    pub sender: PeerAddress,
    /// Part of the known hosts that the sender hears.
    #[serde(rename = "heard_share")]
    pub seen_share: f64,
    /// Age of the sender's latest news of servers, in milliseconds.
    #[serde(rename = "news_age_ms")]
    pub update_age_ms: u64,
    /// Entries of servers that changed lately.
    #[serde(rename = "news")]
    pub updates: Vec<ServerRegistration>,
    /// Servers that leave.
    pub departures: Vec<ServerDeparture>,
    /// What all hosts together have at engines.
    pub loads: Vec<EngineLoad>,
    /// Which engines have which parts of prompts, as far as the hosts were not told.
    #[serde(rename = "placed")]
    pub cached_parts: Vec<CachedPart>,
    /// What all hosts together may still use of quotas.
    pub spend: HashMap<String, FleetSpend>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What one host tells.
    Host(Box<HostDigest>),
    /// What a collecting host tells.
    #[serde(rename = "Fleet")]
    Aggregate(Box<AggregateDigest>),
}
