//! Service in the routing table.

use std::time::Duration;

teaselglade_core::value_type! {
    /// Capacity of the model engines of a service.
    pub struct EngineSpec {
        /// Maximum number of requests that one engine runs at a time.
        pub slots: u32,
        /// Capacity of one engine's cache memory in tokens.
        pub memory_tokens: f64,
        /// Number of tokens in one event.
        pub event_tokens: u32,
    }
}

teaselglade_core::value_type! {
    /// Limits and prices of the servers that the autoscaler may order.
    pub struct ScalingSpec {
        /// Minimum number of servers in a zone.
        pub min_servers: u32,
        /// Maximum number of servers in a zone, reclaimable and regular ones together.
        pub max_servers: u32,
        /// Time from the order of a server until it takes work.
        pub boot: Duration,
        /// Price of a reclaimable server relative to a regular one. `None` without such servers.
        pub reclaimable_price: Option<f64>,
        /// Price of a regular server per second, by zone.
        pub zone_prices: Vec<(String, f64)>,
    }
}

teaselglade_core::value_type! {
    /// Service in the routing table.
    pub struct ServiceSpec {
        /// Name of the service.
        pub name: String,
        /// Maximum number of connections that one server accepts from all hosts together.
        pub max_connections: u32,
        /// Capacity of its model engines, or `None` for plain servers.
        pub engine: Option<EngineSpec>,
        /// Limits of the autoscaler, or `None` if servers cannot be ordered.
        pub scaling: Option<ScalingSpec>,
    }
}
