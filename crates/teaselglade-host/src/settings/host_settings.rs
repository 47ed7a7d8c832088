//! Settings of a serving host, as the platform's adapter reads them.

use std::net::SocketAddr;
use std::time::Duration;

use super::LogSettings;

/// Addresses that a host listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Questions whether the host is ready.
    pub readiness: SocketAddr,
    /// Digests (UDP) and calls (TCP) of peers.
    pub peers: SocketAddr,
}

/// What the platform asks of the holder of the duties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutySettings {
    /// Whether usage is to be reported.
    pub reports_usage: bool,
    /// Whether servers are ordered by this system.
    pub orders_servers: bool,
    /// Length of a window of usage.
    pub usage_window: Duration,
    /// Time within which duties must not go back to an earlier holder.
    pub lease_term: Duration,
}

/// Settings of a serving host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub name: String,
    /// Zone of the host.
    pub zone: String,
    /// Addresses that the host listens on.
    pub listen: ListenAddresses,
    /// Addresses of some other hosts; their ports need not be those of peers.
    pub seeds: Vec<SocketAddr>,
    /// Time from the signal to stop until the process is killed.
    pub shutdown_grace_period: Duration,
    /// What the platform asks of the holder of the duties.
    pub duties: DutySettings,
    /// What is logged.
    pub log: LogSettings,
}
