//! Metrics on requests and prompt parts that end servers.

use prometheus::{IntCounter, IntGauge, IntGaugeVec};
use teaselglade_net::metrics::{MetricRegistry, Result};

/// Metrics on requests and prompt parts that end servers.
#[derive(Debug)]
pub struct CrashMetrics {
    /// Servers that ended under an attempt that had brought nothing, as seen by this host.
    pub ended_servers: IntCounter,
    suspect_parts: IntGaugeVec,
}

impl CrashMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self> {
        Ok(Self {
            ended_servers: registry.counter(
                "teaselglade_ended_servers_total",
                "Servers that ended under a request that had brought nothing.",
            )?,
            suspect_parts: registry.gauges(
                "teaselglade_suspect_parts",
                "Requests and prompt parts on which servers ended.",
                &["standing"],
            )?,
        })
    }

    /// Returns the number of requests and parts with a standing.
    #[must_use]
    pub fn suspect_parts(&self, standing: &str) -> IntGauge {
        self.suspect_parts.with_label_values(&[standing])
    }
}
