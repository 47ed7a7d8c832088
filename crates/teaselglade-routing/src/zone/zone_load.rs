//! Demand and room of a service in one zone.

use std::time::Duration;

/// Demand and room of a service in one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneLoad {
    /// Name of the zone.
    pub zone: String,
    /// Work per second that the zone's callers ask for, refused requests included.
    pub demand: f64,
    /// Work per second that the zone's servers prove to do.
    pub room: f64,
    /// Number of servers that take work.
    pub servers: u32,
}

/// Demand and room of a service in all zones, and what its requests are like.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Zones, each once.
    pub zones: Vec<ZoneLoad>,
    /// Time that a server needs for a typical request.
    pub service_time: Duration,
    /// Cost of serving a typical request in another zone.
    pub crossing: Duration,
}
