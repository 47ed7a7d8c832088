//! A serving host as a whole.

mod serving_host;

pub use serving_host::ServingHost;
