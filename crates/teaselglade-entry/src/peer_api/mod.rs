//! What peers and operators ask of this host.

mod peer_routes;

pub(crate) use peer_routes::{health, peer_router, readiness};
