//! Tests of the table's replay, publication, snapshots and head poll.

mod agreement;
mod fake_log;
mod head_polling;
mod publishing;
mod snapshot_scheduling;
mod support;
