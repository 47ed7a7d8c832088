//! Metrics of the control daemon.

mod control_metrics;

pub(crate) use control_metrics::ControlMetrics;
