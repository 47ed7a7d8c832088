//! How the roll-outs that a host knows stand, and why.

use serde::{Deserialize, Serialize};
use teaselglade_routing::rollout::{RolloutView, ServerTally};

/// Roll-outs that a host knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutList {
    /// Name of the host.
    pub host: String,
    /// Whether the host moves the orders on.
    pub leads: bool,
    /// Newest order of each service.
    pub rollouts: Vec<ServiceReport>,
}

/// Newest order of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The roll-out as the host sees it.
    pub view: RolloutView,
    /// Attempts at servers of the new version by the servers' names, most failures first.
    pub servers: Vec<NamedTally>,
}

/// Attempts at a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedTally {
    /// Name of the server; `None` if it is gone.
    pub server: Option<String>,
    /// Attempts of all hosts that were heard of.
    pub tally: ServerTally,
}
