//! Calls to plain servers.

mod plain_task;

pub(crate) use plain_task::{PlainOrder, run_plain};
