//! Route in the routing table.

use std::time::Duration;

teaselglade_core::value_type! {
    /// Kind of response that a route gives.
    pub enum ResponseKind {
        /// One body, sent as a whole.
        Plain,
        /// Stream of events with increasing ids.
        Stream,
    }
}

teaselglade_core::value_type! {
    /// Retry policy of a route.
    pub enum RetryPolicy {
        /// A request runs at most once.
        Never,
        /// A request may run again from the start.
        Restart,
        /// A stream may continue on another server after its last event.
        Resume,
    }
}

impl RetryPolicy {
    /// Returns whether a request that may have run may be retried.
    #[must_use]
    pub const fn allows_retry(self) -> bool {
        !matches!(self, Self::Never)
    }
}

teaselglade_core::value_type! {
    /// Share of a route's requests for one service.
    pub struct ServiceShare {
        /// Name of the service.
        pub service: String,
        /// Weight relative to the other services.
        pub weight: f64,
    }
}

teaselglade_core::value_type! {
    /// Route in the routing table.
    pub struct RouteSpec {
        /// Name of the route.
        pub name: String,
        /// Host name in requests, in lower case and without a port.
        pub host: String,
        /// Path prefix; begins and ends with a slash.
        pub path_prefix: String,
        /// Kind of response.
        #[serde(rename = "shape")]
        pub response_kind: ResponseKind,
        /// Retry policy.
        #[serde(rename = "repeat")]
        pub retry_policy: RetryPolicy,
        /// Maximum time that a request waits for its response.
        pub timeout: Duration,
        /// Target time to the response or its first event; later ones count as late.
        pub target: Duration,
        /// Target for the longest pause between two events of a response.
        pub gap_target: Option<Duration>,
        /// Priority, 0 first.
        pub priority: u8,
        /// Maximum number of servers to which one request is sent.
        pub max_attempts: u32,
        /// Whether callers need no API key.
        pub public: bool,
        /// Services with their weights; never empty.
        pub services: Vec<ServiceShare>,
    }
}

impl RouteSpec {
    /// Returns the name of the service for a random `draw` between 0 and 1.
    #[must_use]
    pub fn service(&self, draw: f64) -> &str {
        let total: f64 = self
            .services
            .iter()
            .map(|share| share.weight.max(0.0))
            .sum();
        let mut remaining = draw.clamp(0.0, 1.0) * total;
        for share in &self.services {
            remaining -= share.weight.max(0.0);
            if remaining < 0.0 {
                return &share.service;
            }
        }
        let last_weighted = self.services.iter().rev().find(|share| share.weight > 0.0);
        last_weighted
            .or(self.services.first())
            .map_or("", |share| &share.service)
    }
}
