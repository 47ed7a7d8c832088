//! What a collecting host tells the hosts of a large fleet.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{HostDigest, PeerAddress};
use crate::engine::{CachedPart, EngineLoad};
use crate::fleet::{Departure, ServerSheet};
use crate::quota::FleetSpend;

/// One of the hosts that go first by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadingHost {
    /// Name and address.
    pub host: PeerAddress,
    /// Time of its start in Unix microseconds.
    pub start: u64,
    /// Milliseconds since the teller knows it to have been there.
    pub heard_ms: u64,
    /// Whether the store answers it.
    pub reads_store: bool,
    /// Whether it holds the duties.
    pub holds_duties: bool,
}

/// What a collecting host tells the hosts of a large fleet.
///
/// In a large fleet every host sends its digest to three collectors, which add up what they hear;
/// so messages for each host do not grow with the fleet. Collectors keep nothing: any host takes
/// the place of one that is gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// The hosts that go first by name, the sender included.
    pub leaders: Vec<LeadingHost>,
    /// Version of the table in force at the sender.
    pub table: u64,
    /// Address from which a newer table is had.
    pub sender: PeerAddress,
    /// Part of the known hosts that the sender hears.
    pub heard_share: f64,
    /// Age of the sender's latest news of servers, in milliseconds.
    pub news_age_ms: u64,
    /// Entries of servers that changed lately.
    pub news: Vec<ServerSheet>,
    /// Servers that leave.
    pub departures: Vec<Departure>,
    /// What all hosts together have at engines.
    pub loads: Vec<EngineLoad>,
    /// Which engines have which parts of prompts, as far as the hosts were not told.
    pub placed: Vec<CachedPart>,
    /// What all hosts together may still use of quotas.
    pub spend: HashMap<String, FleetSpend>,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What one host tells.
    Host(Box<HostDigest>),
    /// What a collecting host tells.
    Fleet(Box<FleetDigest>),
}
