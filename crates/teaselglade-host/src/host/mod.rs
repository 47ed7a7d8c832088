//! Start and shutdown of a serving host.

mod serving_host;
mod stop_log;

pub use serving_host::ServingHost;
