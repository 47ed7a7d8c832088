//! What hosts tell each other of roll-outs.

use serde::{Deserialize, Serialize};

use super::{RolloutOrder, RolloutStage, VersionEvidence};

/// State of one order at a host, and what the host saw of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReport {
    /// The order.
    pub order: RolloutOrder,
    /// Time since the order, as far as the host knows, in milliseconds.
    pub age_ms: u64,
    /// Latest stage that the host knows.
    pub stage: RolloutStage,
    /// Requests that the host has open at servers of other versions than the target.
    pub open_at_old: u32,
    /// What the host itself saw since the order; empty in an aggregate.
    pub evidence: VersionEvidence,
    /// Incarnation hashes of servers that left the trial, as they fail by themselves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failing: Vec<u64>,
}

/// Orders that one host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Name of the host; empty for an aggregator's word to the hosts that it serves.
    pub host: String,
    /// Start time of the host in Unix microseconds; it identifies the incarnation.
    pub started_at_us: u64,
    /// Orders, one for each service.
    pub orders: Vec<OrderReport>,
}

impl RolloutReport {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}
