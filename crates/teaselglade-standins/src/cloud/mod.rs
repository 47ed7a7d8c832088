//! Stand-in for the cloud API, which starts, releases and reclaims hosts.

mod cloud_registry;
mod cloud_server;

pub use cloud_registry::{CloudRegistry, HostStarter};
pub use cloud_server::cloud_router;
