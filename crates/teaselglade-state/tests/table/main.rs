//! Tests of the table's replay, its publication and its snapshots.

mod agreement;
mod fake_log;
mod keeping;
mod publishing;
mod support;
mod surveying;
