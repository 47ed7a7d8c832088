//! Stand-in for a plain server; it counts every execution.

mod plain_server;

pub use plain_server::{ExecutionCounts, plain_router};
