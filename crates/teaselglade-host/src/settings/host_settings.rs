//! Settings of a serving host, provided by the platform adapter.

use std::net::SocketAddr;
use std::time::Duration;

use teaselglade_routing::rollout::RolloutBounds;
use teaselglade_routing::zone::ZonePrices;

use super::LogSettings;

/// Addresses on which a host listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub readiness: SocketAddr,
    /// Address for digests (UDP) and calls (TCP) of peers.
    pub peers: SocketAddr,
}

/// Leader duties that the platform requires, and their time bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutySettings {
    /// Whether the leader reports usage.
    pub reports_usage: bool,
    /// Whether the leader orders servers.
    pub orders_servers: bool,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time within which duties must not return to an earlier leader.
    pub lease_term: Duration,
}

/// Settings of a serving host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub zone: String,
    /// Addresses on which the host listens.
    pub listen: ListenAddresses,
    /// Addresses of some other hosts; the port for peers is taken from [`ListenAddresses::peers`].
    pub seeds: Vec<SocketAddr>,
    /// Bandwidth of the host's network link in bytes per second; `None` if it is not limited.
    pub link_bytes_per_second: Option<f64>,
    /// Time from the shutdown signal until the platform kills the process.
    pub shutdown_grace_period: Duration,
    /// Leader duties.
    pub duties: DutySettings,
    /// Bounds on roll-outs of a service's version; `None` if the deployment sets none.
    pub rollouts: Option<RolloutBounds>,
    /// What it costs to serve a request in another data centre; nothing by default.
    pub zone_prices: ZonePrices,
    /// Settings of the log.
    pub log: LogSettings,
}
