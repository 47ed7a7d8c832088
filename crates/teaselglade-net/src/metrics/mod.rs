//! Counters and gauges of a daemon.

mod metric_registry;

pub use metric_registry::MetricRegistry;

/// Result of registering counters.
pub type Result<T> = prometheus::Result<T>;
