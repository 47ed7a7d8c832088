//! Metrics of a serving host.

mod crash_metrics;
mod end_metrics;
mod host_metrics;

pub use crash_metrics::CrashMetrics;
pub use end_metrics::EndMetrics;
pub use host_metrics::HostMetrics;
