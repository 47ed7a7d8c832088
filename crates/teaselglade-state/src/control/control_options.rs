//! Startup options of a control planner.

use teaselglade_core::port::HostPurchase;

use super::ControlLimits;

/// Kind of host that can be ordered from the cloud API.
#[derive(Debug, Clone, PartialEq)]
pub struct HostOffer {
    /// Zone of the hosts.
    pub zone: String,
    /// Hardware class of the hosts.
    pub class: String,
    /// Purchase option of the hosts.
    pub purchase: HostPurchase,
    /// Price in euro cents per hour, updated by the prices that the cloud API reports.
    pub cents_per_hour: f64,
}

/// Number of servers of a service that take a role in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleShare {
    /// Name of the role.
    pub role: String,
    /// Number of servers that take the role.
    pub servers: usize,
}

/// Model, adapters and roles of the engines of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineProfile {
    /// Name of the service.
    pub service: String,
    /// Model to load.
    pub model: String,
    /// Adapters to load.
    pub adapters: Vec<String>,
    /// Roles that some of the servers take.
    pub roles: Vec<RoleShare>,
    /// Role of all other servers.
    pub default_role: Option<String>,
}

impl EngineProfile {
    /// Creates the profile of a service whose engines load the model of the same name.
    pub fn of_service(service: impl Into<String>) -> Self {
        let service = service.into();
        Self {
            model: service.clone(),
            service,
            adapters: Vec::new(),
            roles: Vec::new(),
            default_role: None,
        }
    }
}

/// Startup options of a control planner.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlOptions {
    /// Name of the host that the planner runs on.
    pub host: String,
    /// Zone of that host.
    pub zone: String,
    /// Kinds of host that can be ordered.
    pub offers: Vec<HostOffer>,
    /// Engine profiles; a service without one loads the model of the same name.
    pub profiles: Vec<EngineProfile>,
    /// Intervals, timeouts and limits.
    pub limits: ControlLimits,
    /// Seed of the backoff jitter.
    pub seed: u64,
}
