//! Metrics on shares of services whose room is scarce.

use prometheus::IntGaugeVec;
use teaselglade_net::metrics::{MetricRegistry, Result};
use teaselglade_routing::share::ShareState;

/// Metrics on shares of services whose room is scarce.
///
/// Organisations are those of the table; hosts exchange the largest 32 flows of a service.
#[derive(Debug)]
pub struct ShareMetrics {
    room: IntGaugeVec,
    work: IntGaugeVec,
}

impl ShareMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self> {
        Ok(Self {
            room: registry.gauges(
                "teaselglade_scarce_room",
                "Work a second that a service proves to do while more is asked; 0 while it suffices.",
                &["service"],
            )?,
            work: registry.gauges(
                "teaselglade_share_work",
                "Work a second that an organisation asks for, is granted and uses while room is scarce.",
                &["service", "organisation", "rank", "figure"],
            )?,
        })
    }

    /// Sets the room of a service; `None` if it suffices.
    pub fn set_room(&self, service: &str, room: Option<f64>) {
        let gauge = self.room.with_label_values(&[service]);
        gauge.set(room.unwrap_or_default() as i64);
    }

    /// Replaces the shares of all services.
    pub fn set_shares(&self, states: &[ShareState]) {
        self.work.reset();
        for state in states {
            let rank = state.rank.get().to_string();
            let figures = [
                ("asked", state.asked),
                ("granted", state.granted),
                ("used", state.used),
            ];
            for (figure, work) in figures {
                let labels = [&state.service, &state.organisation, rank.as_str(), figure];
                // Several flows may be those of "other".
                self.work.with_label_values(&labels).add(work as i64);
            }
        }
    }
}
