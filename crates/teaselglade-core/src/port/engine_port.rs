//! Port to the orders that engines take.

use std::fmt::{self, Debug};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::PortFuture;

/// Desired state of an engine; ordering it twice changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineGoal {
    /// Whether to take no new work.
    pub drain: bool,
    /// Model to hold.
    pub model: Option<String>,
    /// Adapters to hold.
    pub adapters: Vec<String>,
    /// Role to take.
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

/// State of an engine as it was ordered last.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Fencing number of the last order.
    pub number: u64,
    /// The state itself.
    pub goal: EngineGoal,
}

/// Failure of an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// The engine took an order with a higher fencing number before.
    Fenced,
    /// Whether the call had its effect is unknown.
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

/// Orders to engines.
pub trait EnginePort: Debug + Send + Sync {
    /// Orders a state under a fencing number and returns the state after it.
    fn order(
        &self,
        server: SocketAddr,
        order: EngineStatus,
    ) -> PortFuture<'_, Result<EngineStatus, EngineError>>;

    /// Reads the state.
    fn state(&self, server: SocketAddr) -> PortFuture<'_, Result<EngineStatus, EngineError>>;
}
