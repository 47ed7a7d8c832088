//! Metrics of the control daemon.

use prometheus::{IntCounter, IntCounterVec, IntGauge};
use teaselglade_net::metrics::{MetricRegistry, Result};

/// Prometheus metrics of the control daemon.
#[derive(Debug)]
pub(crate) struct ControlMetrics {
    registry: MetricRegistry,
    /// Calls of the planner, by kind and outcome.
    pub(crate) calls: IntCounterVec,
    /// Calls that were not sent because the lease was no longer valid.
    pub(crate) withheld_calls: IntCounter,
    /// Failed reads and appends of the log.
    pub(crate) log_failures: IntCounter,
    /// Appends that were sent to the log, including failed ones.
    pub(crate) log_appends: IntCounter,
    /// Audit entries that were dropped.
    pub(crate) dropped_entries: IntGauge,
    /// 1 while this daemon holds the lease, otherwise 0.
    pub(crate) lease_held: IntGauge,
    /// Fencing number of the lease that this daemon last gained or lost.
    pub(crate) lease_number: IntGauge,
    /// Version of the active table; 0 before the first one.
    pub(crate) table_version: IntGauge,
}

impl ControlMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub(crate) fn new() -> Result<Self> {
        let registry = MetricRegistry::default();
        Ok(Self {
            calls: registry.counters(
                "teaselglade_control_calls_total",
                "Calls by what they asked for and how they ended.",
                &["call", "outcome"],
            )?,
            withheld_calls: registry.counter(
                "teaselglade_control_withheld_calls_total",
                "Calls that were not made because the lease's time was over.",
            )?,
            log_failures: registry
                .counter("teaselglade_log_failures_total", "Failed calls to the log.")?,
            log_appends: registry
                .counter("teaselglade_log_appends_total", "Appends to the log.")?,
            dropped_entries: registry.gauge(
                "teaselglade_audit_dropped_entries",
                "Entries of the audit trail that were dropped.",
            )?,
            lease_held: registry.gauge(
                "teaselglade_lease_held",
                "Whether this daemon holds the lease.",
            )?,
            lease_number: registry.gauge(
                "teaselglade_lease_number",
                "Fencing number of the lease that this daemon held last.",
            )?,
            table_version: registry.gauge(
                "teaselglade_table_version",
                "Version of the table in force.",
            )?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.registry.render()
    }
}
