//! Where a request would go now, and why.

use serde::{Deserialize, Serialize};
use teaselglade_routing::crash::SubjectReport;

/// Where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// Route that the request matches.
    pub route: String,
    /// Service that runs it.
    pub service: String,
    /// Name of the organisation, if any.
    pub organisation: Option<String>,
    /// Rank among requests for scarce room, 0 first.
    pub rank: u8,
    /// Stage of the service's roll-out, if one was ordered.
    pub rollout: Option<String>,
    /// Name of the server that would run it; `None` if it would be refused.
    pub server: Option<String>,
    /// Why it would be refused.
    pub refusal: Option<String>,
    /// Zone decision.
    pub zone: ZoneDecision,
    /// Servers that may be sent to, the cheapest first.
    pub options: Vec<ServerOption>,
    /// Servers that take work, but not from this host now.
    pub left_out: Vec<LeftOutServer>,
    /// What speaks against parts of the prompt.
    pub subjects: Vec<SubjectReport>,
    /// Ages of the facts.
    pub ages: FactAges,
}

/// Zone decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneDecision {
    /// Zone of the host.
    pub home: String,
    /// Zone to which the request would leave, if it is among those that do.
    pub leaves_to: Option<String>,
    /// Cost of a server outside the wanted zone, in milliseconds.
    pub crossing_ms: f64,
    /// Part of the home zone's demand that leaves by the plan.
    pub outflow_share: f64,
}

/// Server that may be sent to, with the sums that decide.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerOption {
    /// Name of the server.
    pub server: String,
    /// Zone of the server.
    pub zone: String,
    /// Sum by which servers are compared; milliseconds for streams, load per slot for plain calls.
    pub cost: f64,
    /// Part of the cost that stems from the zone, for streams.
    pub zone_cost_ms: Option<f64>,
    /// Predicted time to the first event, for streams.
    pub predicted_ms: Option<f64>,
    /// Part of the predicted time that waits for others, for streams.
    pub wait_ms: Option<f64>,
    /// Prompt tokens that are cached there, for streams.
    pub cached_tokens: Option<u32>,
    /// Prompt tokens queued before the request, for streams.
    pub tokens_ahead: Option<f64>,
    /// Known requests as a share of the slots, for streams.
    pub used_share: Option<f64>,
    /// Age of the load that the server reported, for plain calls.
    pub load_age_ms: Option<u64>,
    /// Whether recent failures speak against the server.
    pub is_avoided: bool,
    /// Whether a request needs a permit, as the server names a limit.
    pub needs_permit: bool,
}

/// Server that takes work, but not from this host now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeftOutServer {
    /// Name of the server.
    pub server: String,
    /// Zone of the server.
    pub zone: String,
    /// Why it is left out.
    pub reason: String,
    /// Time for which it is left out, in milliseconds.
    pub wait_ms: u64,
}

/// Ages of the facts that a placement rests on, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactAges {
    /// Version of the active table.
    pub table_version: u64,
    /// Age of the registration data.
    pub registrations_ms: u64,
    /// Age of the oldest loads of other hosts; `None` if none are known.
    pub loads_ms: Option<u64>,
    /// Age of an aggregator's zone plan; `None` if this host plans itself or has no plan.
    pub zone_plan_ms: Option<u64>,
}
