//! Table row of one service.

use std::time::Duration;

crate::value_type! {
    /// Kind of the backend servers of a service.
    pub enum ServiceKind {
        /// Model engines that stream tokens.
        Model,
        /// Plain servers that respond to HTTP calls.
        Plain,
    }
}

crate::value_type! {
    /// Weight, limits, targets and permitted hardware of one service.
    pub struct ServiceRow {
        /// Name that callers send with their requests.
        pub name: String,
        /// Kind of the backend servers of the service.
        pub kind: ServiceKind,
        /// Relative share of contended hardware, compared with other services.
        pub weight: f64,
        /// Maximum requests per second; `None` for no limit.
        pub max_requests_per_second: Option<f64>,
        /// Maximum generated tokens per second; `None` for no limit.
        pub max_tokens_per_second: Option<f64>,
        /// Maximum requests in progress at a time; `None` for no limit.
        pub max_concurrency: Option<u32>,
        /// Target time from acceptance to the first token or the whole plain response.
        pub first_token_target: Duration,
        /// Target time between two tokens; plain services need none.
        pub token_gap_target: Option<Duration>,
        /// Permitted hardware classes; an empty list permits all.
        pub classes: Vec<String>,
        /// Permitted zones; an empty list permits all.
        pub zones: Vec<String>,
        /// Maximum price of a host, in euro cents per hour; `None` for no limit.
        pub max_cents_per_hour: Option<f64>,
        /// Maximum cost of all hosts of the service, in euro cents per hour.
        ///
        /// `None` for no limit.
        pub max_spend_cents_per_hour: Option<f64>,
        /// Whether calls are idempotent, so that they may be retried.
        pub idempotent: bool,
        /// Whether the servers reject orders with an outdated fencing number.
        pub fenced: bool,
        /// Minimum number of backend servers that the control daemon keeps.
        pub min_servers: u32,
    }
}

impl ServiceRow {
    /// Returns whether the row permits hardware of the given class, zone and price.
    #[must_use]
    pub fn permits(&self, class: &str, zone: &str, cents_per_hour: f64) -> bool {
        let class_permitted =
            self.classes.is_empty() || self.classes.iter().any(|permitted| permitted == class);
        let zone_permitted =
            self.zones.is_empty() || self.zones.iter().any(|permitted| permitted == zone);
        let price_permitted = self
            .max_cents_per_hour
            .is_none_or(|max_cents| cents_per_hour <= max_cents);
        class_permitted && zone_permitted && price_permitted
    }
}
