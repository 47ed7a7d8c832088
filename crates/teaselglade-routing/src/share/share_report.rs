//! Demand by organisation and rank, as hosts exchange it.

use serde::{Deserialize, Serialize};

/// Demand of one organisation at one rank, in work per second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FlowDemand {
    /// Hash of the organisation's name; 0 sums up the flows beyond the largest.
    pub organisation: u64,
    /// Rank of the requests.
    pub rank: u8,
    /// Work that callers ask for, refused requests included.
    pub asked: f32,
    /// Work that servers accepted.
    pub used: f32,
}

/// Demand for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceFlows {
    /// Hash of the service's name.
    pub service: u64,
    /// Work per second that was refused because all servers were predicted to be late.
    pub late: f32,
    /// Work per second that one server proved to do.
    pub per_server: f32,
    /// Whether more is asked for than the servers can do.
    pub is_scarce: bool,
    /// Demand by organisation and rank, the largest first.
    pub flows: Vec<FlowDemand>,
}

/// Demand that one host sees, or the sum over several hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Name of the host; empty for a sum.
    pub host: String,
    /// Number of hosts whose demand is included.
    pub hosts: u32,
    /// Mean age of the included figures in milliseconds.
    pub age_ms: u32,
    /// Demand by service.
    pub services: Vec<ServiceFlows>,
}

impl ShareReport {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}
