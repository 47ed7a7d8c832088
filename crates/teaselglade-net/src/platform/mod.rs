//! Adapters to the platform: log, host list, cloud API and weight store.

mod cloud_client;
mod host_list_client;
mod log_client;
mod retry_after;
mod weight_client;

pub use cloud_client::CloudClient;
pub use host_list_client::HostListClient;
pub use log_client::LogClient;
pub use weight_client::WeightClient;
