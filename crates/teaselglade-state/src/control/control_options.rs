//! What a control planner is told at start.

use teaselglade_core::port::HostPurchase;

use super::ControlLimits;

/// Kind of host that the cloud API offers.
#[derive(Debug, Clone, PartialEq)]
pub struct HostOffer {
    /// Zone of the hosts.
    pub zone: String,
    /// Hardware class of the hosts.
    pub class: String,
    /// How the hosts are paid for.
    pub purchase: HostPurchase,
    /// Price in euro cents an hour; prices that are seen later replace it.
    pub cents_per_hour: f64,
}

/// How many servers of a service take a role in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleShare {
    /// Name of the role.
    pub role: String,
    /// Servers that take it.
    pub servers: usize,
}

/// What the engines of one service hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineProfile {
    /// Name of the service.
    pub service: String,
    /// Model to hold.
    pub model: String,
    /// Adapters to hold.
    pub adapters: Vec<String>,
    /// Roles that some of the servers take.
    pub roles: Vec<RoleShare>,
    /// Role of all other servers.
    pub default_role: Option<String>,
}

impl EngineProfile {
    /// Makes the profile of a service whose engines hold the model of the same name.
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

/// What a control planner is told at start.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlOptions {
    /// Host that the planner runs on.
    pub host: String,
    /// Zone of that host.
    pub zone: String,
    /// Kinds of host that can be ordered.
    pub offers: Vec<HostOffer>,
    /// What engines hold; a service without one holds the model of its name.
    pub profiles: Vec<EngineProfile>,
    /// Times and bounds.
    pub limits: ControlLimits,
    /// Seed of the back-off's jitter.
    pub seed: u64,
}
