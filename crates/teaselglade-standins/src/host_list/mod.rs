//! Stand-in for the platform's host list.

mod host_list_server;
mod host_registry;

pub use host_list_server::host_list_router;
pub use host_registry::HostRegistry;
