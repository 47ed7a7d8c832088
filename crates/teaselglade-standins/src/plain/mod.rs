//! Stand-in for a plain backend server, which counts every execution.

mod plain_server;

pub use plain_server::{ExecutionCounts, plain_router};
