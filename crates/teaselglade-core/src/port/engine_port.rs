//! Port for sending orders to engines.

use std::fmt::{self, Debug};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::PortFuture;

/// Desired state of an engine; ordering it again has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineGoal {
    /// Whether to accept no new work.
    pub drain: bool,
    /// Model to keep loaded.
    pub model: Option<String>,
    /// Adapters to keep loaded.
    pub adapters: Vec<String>,
    /// Role to serve in.
    pub role: Option<String>,
}

impl fmt::Display for EngineGoal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let model = self.model.as_deref().unwrap_or("-");
        let role = self.role.as_deref().unwrap_or("-");
        let adapters = self.adapters.join("+");
        let drain = self.drain;
        write!(
            f,
            "model={model} adapters={adapters} role={role} drain={drain}"
        )
    }
}

/// Desired state of an engine, with the fencing number of its order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Fencing number of the order.
    pub number: u64,
    /// Desired state.
    pub goal: EngineGoal,
}

/// Failure of an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// The engine has already accepted an order with a higher fencing number.
    Fenced,
    /// It is unknown whether the call took effect.
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("the engine refused an old fencing number"),
            Self::Unknown { detail } => write!(f, "the engine's answer is unknown: {detail}"),
        }
    }
}

impl std::error::Error for EngineError {}

/// Client for orders to engines.
pub trait EnginePort: Debug + Send + Sync {
    /// Sends an order and returns the state that is in effect after it.
    fn order(
        &self,
        server: SocketAddr,
        order: EngineStatus,
    ) -> PortFuture<'_, Result<EngineStatus, EngineError>>;

    /// Reads the state that was ordered last.
    fn state(&self, server: SocketAddr) -> PortFuture<'_, Result<EngineStatus, EngineError>>;
}
