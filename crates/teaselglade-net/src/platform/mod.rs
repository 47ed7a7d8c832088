//! Adapters to the platform: log, host list, cloud API and weight store.

mod host_list_client;
mod log_client;

pub use host_list_client::HostListClient;
pub use log_client::LogClient;
