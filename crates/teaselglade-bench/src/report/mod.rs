//! Results of a benchmark.

mod bench_report;
mod latency_report;
mod plot;
mod policy_report;
mod policy_stats;

pub use bench_report::BenchReport;
pub use latency_report::LatencyReport;
pub use policy_report::PolicyReport;
pub use policy_stats::{PolicyStats, RequestOutcome, SecondStats};
