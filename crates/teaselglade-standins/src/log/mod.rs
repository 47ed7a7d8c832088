//! Stand-in for the platform's append-only log.

mod log_server;
mod log_store;

pub use log_server::{LogLimits, log_router};
pub use log_store::LogStore;
