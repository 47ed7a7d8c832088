//! One route of the table.

use std::time::Duration;

teaselglade_core::value_type! {
    /// What an answer looks like.
    pub enum ResponseKind {
        /// One body.
        Plain,
        /// Events with increasing ids.
        Stream,
    }
}

teaselglade_core::value_type! {
    /// What may be repeated.
    pub enum RetryPolicy {
        /// A request runs once at most.
        Never,
        /// A request may run again from the start.
        Restart,
        /// A stream may go on at another server behind the last event.
        Resume,
    }
}

impl RetryPolicy {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub const fn allows_retry(self) -> bool {
        !matches!(self, Self::Never)
    }
}

teaselglade_core::value_type! {
    /// Share of a route's requests that a service gets.
    pub struct ServiceShare {
        /// Name of the service.
        pub service: String,
        /// Weight beside the other services.
        pub weight: f64,
    }
}

teaselglade_core::value_type! {
    /// One route of the table.
    pub struct RouteSpec {
        /// Name.
        pub name: String,
        /// Host that callers name, in lower case and without a port.
        pub host: String,
        /// Start of the path; begins and ends with a slash.
        pub path_prefix: String,
        /// What an answer looks like.
        #[serde(rename = "shape")]
        pub response_kind: ResponseKind,
        /// What may be repeated.
        #[serde(rename = "repeat")]
        pub retry_policy: RetryPolicy,
        /// Longest time that a request is kept waiting.
        pub timeout: Duration,
        /// Time to the answer, or to its first event, within which it is on time.
        pub target: Duration,
        /// Longest pause between two events of an answer on time.
        pub gap_target: Option<Duration>,
        /// Rank, 0 first.
        pub priority: u8,
        /// Most servers that one request may be sent to.
        pub max_attempts: u32,
        /// Whether callers need no key.
        pub public: bool,
        /// Services by weight; never empty.
        pub services: Vec<ServiceShare>,
    }
}

impl RouteSpec {
    /// Returns the service for a draw from 0 to 1.
    #[must_use]
    pub fn service(&self, draw: f64) -> &str {
        let total: f64 = self
            .services
            .iter()
            .map(|share| share.weight.max(0.0))
            .sum();
        let mut left = draw.clamp(0.0, 1.0) * total;
        for share in &self.services {
            left -= share.weight.max(0.0);
            if left < 0.0 {
                return &share.service;
            }
        }
        let used = self.services.iter().rev().find(|share| share.weight > 0.0);
        used.or(self.services.first())
            .map_or("", |share| &share.service)
    }
}
