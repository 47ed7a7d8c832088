//! Row of one service.

use std::time::Duration;

crate::value_type! {
    /// What stands behind a service.
    pub enum ServiceKind {
        /// Model engines that stream tokens.
        Model,
        /// Plain servers that answer HTTP calls.
        Plain,
    }
}

crate::value_type! {
    /// Weight, limits, targets and permitted hardware of one service.
    pub struct ServiceRow {
        /// Name that callers send.
        pub name: String,
        /// What stands behind the service.
        pub kind: ServiceKind,
        /// Share of contended hardware relative to other services.
        pub weight: f64,
        /// Most requests a second; none for no limit.
        pub max_requests_per_second: Option<f64>,
        /// Most generated tokens a second; none for no limit.
        pub max_tokens_per_second: Option<f64>,
        /// Most requests in progress at a time; none for no limit.
        pub max_concurrency: Option<u32>,
        /// Target from acceptance to the first token or to the whole plain answer.
        pub first_token_target: Duration,
        /// Target between two tokens; none for plain services.
        pub token_gap_target: Option<Duration>,
        /// Permitted hardware classes; empty permits all.
        pub classes: Vec<String>,
        /// Permitted zones; empty permits all.
        pub zones: Vec<String>,
        /// Highest price of a host, in euro cents an hour; none for no ceiling.
        pub max_cents_per_hour: Option<f64>,
        /// Most that all hosts of the service may cost, in euro cents an hour.
        pub max_spend_cents_per_hour: Option<f64>,
        /// Whether calls may be repeated.
        pub idempotent: bool,
        /// Whether the servers refuse orders with an old fencing number.
        pub fenced: bool,
        /// Fewest backend servers that the control daemon keeps.
        pub min_servers: u32,
    }
}

impl ServiceRow {
    /// Returns whether the row permits hardware of this class, zone and price.
    #[must_use]
    pub fn permits(&self, class: &str, zone: &str, cents_per_hour: f64) -> bool {
        let class_permitted = self.classes.is_empty() || self.classes.iter().any(|c| c == class);
        let zone_permitted = self.zones.is_empty() || self.zones.iter().any(|z| z == zone);
        let price_permitted = self
            .max_cents_per_hour
            .is_none_or(|most| cents_per_hour <= most);
        class_permitted && zone_permitted && price_permitted
    }
}
