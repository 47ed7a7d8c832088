//! Metrics of the entry daemon.

mod entry_metrics;

pub(crate) use entry_metrics::EntryMetrics;
