//! Calls to plain servers, with a claim if they need one.

mod plain_request;
mod plain_task;
mod service_permit;
mod shard_driver;
mod shard_registry;

pub(crate) use plain_request::PlainRequest;
pub(crate) use plain_task::run_plain_call;
pub(crate) use shard_registry::ShardRegistry;
