//! Metrics on what servers say of themselves.

use prometheus::{IntCounter, IntCounterVec, IntGauge};
use teaselglade_net::metrics::{MetricRegistry, Result};

/// Metrics on what servers say of themselves.
#[derive(Debug)]
pub struct AdviceMetrics {
    /// Responses in which servers said something of themselves, by what it is.
    pub said: IntCounterVec,
    /// Headers of servers' responses that this build does not know.
    pub unknown_headers: IntCounter,
    /// Servers that are known to be limited.
    pub limited_servers: IntGauge,
    permits: IntCounterVec,
}

impl AdviceMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self> {
        Ok(Self {
            said: registry.counters(
                "teaselglade_server_advice_total",
                "Answers in which servers said that they leave or rest.",
                &["advice"],
            )?,
            unknown_headers: registry.counter(
                "teaselglade_unknown_server_headers_total",
                "Headers of servers that this build does not know.",
            )?,
            limited_servers: registry.gauge(
                "teaselglade_limited_servers",
                "Servers that name a limit of requests a second.",
            )?,
            permits: registry.counters(
                "teaselglade_server_permits_total",
                "Permits to send to limited servers, by what became of them.",
                &["outcome"],
            )?,
        })
    }

    /// Counts what became of a permit.
    pub fn count_permit(&self, outcome: &str) {
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Returns the number of permits with this outcome.
    #[must_use]
    pub fn permits(&self, outcome: &str) -> u64 {
        self.permits.with_label_values(&[outcome]).get()
    }
}
