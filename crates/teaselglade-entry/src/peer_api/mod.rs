//! HTTP API for peers and operators.

mod peer_routes;

pub(crate) use peer_routes::{health, peer_router, readiness};
