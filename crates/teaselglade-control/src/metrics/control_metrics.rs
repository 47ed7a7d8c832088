//! Counters of the control daemon.

use prometheus::{IntCounter, IntCounterVec, IntGauge};
use teaselglade_net::metrics::{MetricRegistry, Result};

/// Counters of the control daemon.
#[derive(Debug)]
pub(crate) struct ControlMetrics {
    registry: MetricRegistry,
    /// Calls by what they asked for and how they ended.
    pub(crate) calls: IntCounterVec,
    /// Calls that were not made because the lease's time was over.
    pub(crate) withheld_calls: IntCounter,
    /// Failed calls to the log.
    pub(crate) log_failures: IntCounter,
    /// Appends to the log.
    pub(crate) log_appends: IntCounter,
    /// Entries of the audit trail that were dropped.
    pub(crate) dropped_entries: IntGauge,
    /// Whether this daemon holds the lease.
    pub(crate) lease_held: IntGauge,
    /// Fencing number of the lease that this daemon held last.
    pub(crate) lease_number: IntGauge,
    /// Version of the table in force.
    pub(crate) table_version: IntGauge,
}

impl ControlMetrics {
    /// Makes and registers all counters.
    ///
    /// # Errors
    ///
    /// Fails where two counters have the same name.
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

    /// Returns all counters in the text format.
    pub(crate) fn render(&self) -> String {
        self.registry.render()
    }
}
