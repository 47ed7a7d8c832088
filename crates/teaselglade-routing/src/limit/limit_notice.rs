//! What hosts tell each other of limited servers.

use serde::{Deserialize, Serialize};

use super::RequestLimit;

/// What a server's newest known response says of its limit, as hosts exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Incarnation hash of the server.
    pub server: u64,
    /// Limit that the server names; `None` if one that it had named has ended.
    pub limit: Option<RequestLimit>,
    /// Time since the request of that response was sent, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since the last response that named a limit arrived, in milliseconds.
    pub named_age_ms: u64,
}

/// Number of permits for one server that a host has issued since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedCount {
    /// Incarnation hash of the server.
    pub server: u64,
    /// Permits issued, less those given back.
    pub permits: u32,
}

/// Limits that one host knows, and the permits that it issued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Name of the host.
    pub host: String,
    /// Start time of the host in Unix microseconds; it identifies the incarnation.
    pub started_at_us: u64,
    /// Limits of servers.
    pub notices: Vec<LimitNotice>,
    /// Permits issued by the host.
    pub issued: Vec<IssuedCount>,
}

impl LimitReport {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.notices.is_empty() && self.issued.is_empty()
    }
}
