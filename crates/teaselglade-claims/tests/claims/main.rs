//! Claims under failures, on virtual time.

#[path = "../world/mod.rs"]
mod world;

mod at_most_once;
mod lost_records;
mod plain;
