//! Metrics of a serving host.

mod host_metrics;

pub use host_metrics::HostMetrics;
