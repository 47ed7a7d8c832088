//! Metrics on requests between data centres.

use prometheus::IntCounterVec;
use teaselglade_net::metrics::{MetricRegistry, Result};

/// Metrics on requests between data centres.
#[derive(Debug)]
pub struct ZoneMetrics {
    requests: IntCounterVec,
    bytes: IntCounterVec,
}

impl ZoneMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self> {
        let labels = ["service", "zone", "reason"];
        Ok(Self {
            requests: registry.counters(
                "teaselglade_zone_requests_total",
                "Streams placed, by the zone of their engine and the reason for it.",
                &labels,
            )?,
            bytes: registry.counters(
                "teaselglade_zone_bytes_total",
                "Bytes of requests and expected answers of streams, by zone and reason.",
                &labels,
            )?,
        })
    }

    /// Counts a stream that was placed on an engine of `zone`.
    pub fn count(&self, service: &str, zone: &str, reason: &str, bytes: u64) {
        let labels = [service, zone, reason];
        self.requests.with_label_values(&labels).inc();
        self.bytes.with_label_values(&labels).inc_by(bytes);
    }
}
