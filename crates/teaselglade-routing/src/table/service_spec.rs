//! One service of the table.

use std::time::Duration;

teaselglade_core::value_type! {
    /// What the model engines of a service are like.
    pub struct EngineSpec {
        /// Requests that one engine runs at a time.
        pub slots: u32,
        /// Tokens that one engine's memory holds.
        pub memory_tokens: f64,
        /// Tokens that one event carries.
        pub event_tokens: u32,
    }
}

teaselglade_core::value_type! {
    /// Bounds and prices of the servers that may be ordered.
    pub struct ScalingSpec {
        /// Fewest servers of a zone.
        pub min_servers: u32,
        /// Most servers of a zone, of both kinds together.
        pub max_servers: u32,
        /// Time from an order until the server serves.
        pub boot: Duration,
        /// Price of a reclaimable server beside another one; none where there are none.
        pub reclaimable_price: Option<f64>,
        /// Price of a server second, by zone.
        pub zone_prices: Vec<(String, f64)>,
    }
}

teaselglade_core::value_type! {
    /// One service of the table.
    pub struct ServiceSpec {
        /// Name.
        pub name: String,
        /// Most connections that one server accepts from all hosts together.
        pub max_connections: u32,
        /// Model engines behind the service; none for plain servers.
        pub engine: Option<EngineSpec>,
        /// Bounds of orders; none where servers cannot be ordered.
        pub scaling: Option<ScalingSpec>,
    }
}
