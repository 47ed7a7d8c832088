//! Start and shutdown of a serving host.

mod serving_host;

pub use serving_host::ServingHost;
