//! Counters of the control daemon.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Counters of the control daemon.
#[derive(Debug)]
pub(crate) struct ControlMetrics {
    registry: Registry,
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
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let opts = Opts::new(
            "teaselglade_control_calls_total",
            "Calls by what they asked for and how they ended.",
        );
        let calls = IntCounterVec::new(opts, &["call", "outcome"])?;
        registry.register(Box::new(calls.clone()))?;
        Ok(Self {
            calls,
            withheld_calls: counter(
                "teaselglade_control_withheld_calls_total",
                "Calls that were not made because the lease's time was over.",
            )?,
            log_failures: counter("teaselglade_log_failures_total", "Failed calls to the log.")?,
            log_appends: counter("teaselglade_log_appends_total", "Appends to the log.")?,
            dropped_entries: gauge(
                "teaselglade_audit_dropped_entries",
                "Entries of the audit trail that were dropped.",
            )?,
            lease_held: gauge(
                "teaselglade_lease_held",
                "Whether this daemon holds the lease.",
            )?,
            lease_number: gauge(
                "teaselglade_lease_number",
                "Fencing number of the lease that this daemon held last.",
            )?,
            table_version: gauge(
                "teaselglade_table_version",
                "Version of the table in force.",
            )?,
            registry,
        })
    }

    /// Returns all counters in the text format.
    pub(crate) fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            return format!("# {error}\n");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
