//! Metrics on roll-outs of services' versions.

use prometheus::IntGaugeVec;
use teaselglade_net::metrics::{MetricRegistry, Result};
use teaselglade_routing::rollout::RolloutStage;

/// Metrics on roll-outs of services' versions.
#[derive(Debug)]
pub struct RolloutMetrics {
    stage: IntGaugeVec,
    suspicion: IntGaugeVec,
    requests: IntGaugeVec,
}

impl RolloutMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self> {
        Ok(Self {
            stage: registry.gauges(
                "teaselglade_rollout_stage",
                "Stage of the newest order: 0 trial, 1 quarter, 2 half, 3 whole, 4 completed, 5 \
                 rolled back.",
                &["service"],
            )?,
            suspicion: registry.gauges(
                "teaselglade_rollout_suspicion_percent",
                "Score against the new version, as a share of the one that rolls it back.",
                &["service"],
            )?,
            requests: registry.gauges(
                "teaselglade_rollout_requests",
                "Requests that this host sent since the order, and to the new version on trial.",
                &["service", "version"],
            )?,
        })
    }

    /// Sets the gauges of a service; `exposure` holds its requests, and those to the new version.
    pub fn set(&self, service: &str, stage: RolloutStage, suspicion: f64, exposure: (u64, u64)) {
        let percent = (suspicion * 100.0).min(f64::from(u16::MAX)) as i64;
        self.stage
            .with_label_values(&[service])
            .set(i64::from(stage as u8));
        self.suspicion.with_label_values(&[service]).set(percent);
        for (version, count) in [("all", exposure.0), ("new", exposure.1)] {
            let gauge = self.requests.with_label_values(&[service, version]);
            gauge.set(count.cast_signed());
        }
    }
}
