//! Benchmarks placement policies in virtual time.
//!
//! One event loop drives the placement state machines of `teaselglade-placement`, one for each
//! entry host, against a timing model of inference engines. All times are virtual; runs of a plan
//! with the same seed always give the same report.

pub mod engine;
pub mod plan;
pub mod report;
mod run;
pub mod workload;

pub use plan::{BenchPlan, FleetChoice, PolicyChoice};
pub use report::BenchReport;
pub use run::{OverloadReport, run_bench, run_overload};
