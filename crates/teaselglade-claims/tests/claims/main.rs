//! Tests of claims under failures, on virtual time.

#[path = "../simulation/mod.rs"]
mod simulation;

mod at_most_once;
mod lost_records;
mod plain;
