//! Metrics of how requests end.

use prometheus::IntCounterVec;
use teaselglade_net::metrics::{MetricRegistry, Result};

/// Ends of requests by cause.
#[derive(Debug)]
pub struct EndMetrics {
    ends: IntCounterVec,
}

impl EndMetrics {
    /// Creates and registers the metrics.
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self> {
        Ok(Self {
            ends: registry.counters(
                "teaselglade_answer_ends_total",
                "Ends of requests by kind of answer and cause.",
                &["kind", "cause"],
            )?,
        })
    }

    /// Counts the end of a request with this kind of response.
    pub fn count(&self, kind: &str, cause: &str) {
        self.ends.with_label_values(&[kind, cause]).inc();
    }
}
