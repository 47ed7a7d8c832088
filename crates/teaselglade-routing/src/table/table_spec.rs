//! One version of the table as its publisher wrote it.

use std::time::Duration;

use super::{OrganisationSpec, RouteSpec, ServiceSpec};

teaselglade_core::value_type! {
    /// What callers may send.
    pub struct IngressLimits {
        /// Most bytes of a request's head.
        pub head_bytes: usize,
        /// Most bytes of a request's body.
        pub body_bytes: usize,
        /// Longest time for a request's head.
        pub head_timeout: Duration,
        /// Longest time without a request on an open connection.
        pub idle_timeout: Duration,
    }
}

impl Default for IngressLimits {
    /// The usual limits of HTTP servers, in force until a table names others.
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
    /// One version of the table as its publisher wrote it.
    #[derive(Default)]
    pub struct TableSpec {
        /// Version; it only grows.
        pub version: u64,
        /// Routes.
        pub routes: Vec<RouteSpec>,
        /// Services.
        pub services: Vec<ServiceSpec>,
        /// Organisations; without any, no request needs a key.
        pub organisations: Vec<OrganisationSpec>,
        /// What callers may send.
        pub limits: IngressLimits,
    }
}
