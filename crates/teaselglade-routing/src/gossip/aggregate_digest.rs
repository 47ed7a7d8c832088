//! The digest that an aggregator sends to the hosts of a large fleet.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{HostDigest, PeerAddress, ServerNews};
use crate::crash::SubjectEvidence;
use crate::engine::{CachedPart, EngineLoad};
use crate::limit::{LimitReport, PermitMessage};
use crate::quota::FleetSpend;
use crate::registry::{ServerDeparture, ServerRegistration};
use crate::rollout::RolloutReport;
use crate::share::ShareReport;
use crate::speed::SpeedReport;
use crate::zone::ZoneReport;

/// A highly ranked host, from which aggregators and the leader are chosen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateHost {
    /// Name and address of the host.
    pub host: PeerAddress,
    /// Start time in Unix microseconds; it identifies the incarnation.
    #[serde(rename = "start")]
    pub started_at_us: u64,
    /// Milliseconds since the host was last seen, by the sender or by another aggregator.
    #[serde(rename = "heard_ms")]
    pub last_seen_ms: u64,
    /// Whether the host can reach the store.
    #[serde(rename = "reads_store")]
    pub store_reachable: bool,
    /// Whether the host is the leader.
    #[serde(rename = "holds_duties")]
    pub is_leader: bool,
    /// Data centre of the host.
    #[serde(default)]
    pub zone: String,
}

/// Sum of the digests that an aggregator received, for a large fleet's hosts.
///
/// Every host of a large fleet sends its digest to three aggregators, so the number of messages
/// per host does not grow with the fleet. Aggregators hold no durable state: any host can replace
/// a lost one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AggregateDigest {
    /// Highest-ranked hosts in rank order, including the sender and hosts that lost the store.
    #[serde(rename = "leaders")]
    pub candidates: Vec<CandidateHost>,
    /// Version of the sender's active table; 0 if it has none.
    #[serde(rename = "table")]
    pub table_version: u64,
    /// Address of the sender, from which a newer table can be fetched.
    pub sender: PeerAddress,
    /// Fraction of the known hosts that the sender saw recently, itself included.
    #[serde(rename = "heard_share")]
    pub seen_share: f64,
    /// Age of the sender's newest registration data, in milliseconds.
    #[serde(rename = "news_age_ms")]
    pub update_age_ms: u64,
    /// Registrations that changed recently.
    #[serde(rename = "news")]
    pub updates: Vec<ServerRegistration>,
    /// Recent server departures.
    pub departures: Vec<ServerDeparture>,
    /// Load that all hosts together placed on each engine; empty if there are too many.
    pub loads: Vec<EngineLoad>,
    /// Prompt prefix parts cached on engines that the receivers may not know of yet.
    #[serde(rename = "placed")]
    pub cached_parts: Vec<CachedPart>,
    /// Remaining quota and spending rate of the whole fleet, by organisation.
    pub spend: HashMap<String, FleetSpend>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State of one host.
    Host(Box<HostDigest>),
    /// Sum of many hosts' digests, sent by an aggregator.
    #[serde(rename = "Fleet")]
    Aggregate(Box<AggregateDigest>),
    /// Evidence on subjects under which servers ended, sent by an aggregator beside its digest.
    ///
    /// An aggregate is sent over some hundred milliseconds; ages in it would be off by as much, and
    /// servers that ended together would look as if they had ended one after another.
    #[serde(rename = "Parts")]
    Crashes(Vec<SubjectEvidence>),
    /// Limits of servers and issued permits, sent beside a digest.
    Limits(LimitReport),
    /// Demand by organisation and rank, sent beside a digest.
    Shares(ShareReport),
    /// Message about a permit to send to a limited server.
    Permit(PermitMessage),
    /// Roll-outs that run or ended lately, sent beside a digest while there are any.
    Rollouts(RolloutReport),
    /// Parts of the zones' demand that leave them, sent by an aggregator beside its digest.
    Zones(ZoneReport),
    /// Lasting speeds of servers, sent beside a digest.
    Speeds {
        /// Speeds of engines.
        engines: SpeedReport,
        /// Speeds of servers of plain calls.
        plain: SpeedReport,
    },
    /// Changes of servers, sent before a digest that has no room for them.
    News(ServerNews),
    /// Loads of some engines, sent by an aggregator whose digest has no room for those of all.
    Loads(Vec<EngineLoad>),
}
