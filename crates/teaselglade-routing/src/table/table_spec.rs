//! One version of the routing table as published.

use std::time::Duration;

use super::{OrganisationSpec, RouteSpec, ServiceSpec};

teaselglade_core::value_type! {
    /// Limits on the requests of callers.
    pub struct IngressLimits {
        /// Maximum size of a request's head in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request's body in bytes.
        pub body_bytes: usize,
        /// Maximum time to receive a request's head.
        pub head_timeout: Duration,
        /// Maximum time without a request on an open connection.
        pub idle_timeout: Duration,
    }
}

impl Default for IngressLimits {
    /// Returns limits usual for HTTP servers, which apply until a table sets others.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

teaselglade_core::value_type! {
    /// One version of the routing table as published.
    #[derive(Default)]
    pub struct TableSpec {
        /// Version number; increases with every publication.
        pub version: u64,
        /// Routes.
        pub routes: Vec<RouteSpec>,
        /// Services.
        pub services: Vec<ServiceSpec>,
        /// Organisations; without any, no request needs a key.
        pub organisations: Vec<OrganisationSpec>,
        /// Limits on the requests of callers.
        pub limits: IngressLimits,
    }
}
