//! Metrics of a daemon.

mod metric_registry;

pub use metric_registry::MetricRegistry;

/// Result of registering a metric.
pub type Result<T> = prometheus::Result<T>;
