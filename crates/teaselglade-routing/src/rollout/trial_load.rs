//! How many servers of a version carry its traffic, so that each has a usual load.

use teaselglade_core::time::Timestamp;

use super::service_rollout::{PROBE_FROM, PROBE_PART, QUARTER_FROM, ServiceRollout, TRIAL_PART};
use super::{RolloutBounds, RolloutStage};
use crate::engine::EngineLoad;
use crate::registry::ServerRegistry;

/// Share of the new servers that carry the trial.
const TRIAL_SERVERS: f64 = 0.05;
/// The same under load, where the load of the old servers is not known.
const PROBE_SERVERS: f64 = 0.025;
/// Servers that carry a part of the traffic, relative to that part: each gets some
/// times its usual load, and what it does not take in time goes to the old version.
const PART_SERVERS: f64 = 0.2;
/// Share of the traffic under load, relative to the permitted exposure.
const PROBE_RATE: f64 =
    (PROBE_PART * QUARTER_FROM - TRIAL_PART * PROBE_FROM) / (QUARTER_FROM - PROBE_FROM);

impl ServiceRollout {
    /// Returns how many servers carry the trial now, and how many the stage's part of the traffic.
    ///
    /// Under load they are so few that each is as busy as [`VersionLoad`] asks for.
    pub(super) fn carriers(&self, now: Timestamp, bounds: RolloutBounds) -> (usize, usize) {
        let share_of = |share: f64| (self.new_servers as f64 * share).ceil() as usize;
        let loaded = |traffic: f64, share: f64| {
            let servers = self
                .load
                .servers_for(traffic, self.open_at_new, self.new_slots);
            servers.unwrap_or_else(|| share_of(share))
        };
        let trial = if self.progress(now) < PROBE_FROM {
            share_of(TRIAL_SERVERS)
        } else {
            loaded(bounds.exposure_share * PROBE_RATE, PROBE_SERVERS)
        };
        let traffic = self.stage.traffic_share();
        (trial, loaded(traffic, traffic * PART_SERVERS))
    }

    /// Reads the loads of the service's servers.
    pub(super) fn record_loads(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        loads: &[EngineLoad],
    ) {
        let of_service = loads.iter().filter_map(|load| {
            let server = registry.server(registry.find_by_hash(load.server)?);
            let is_of_service = server.registration.service == self.order.service;
            let is_new = server.version_hash() == self.target;
            is_of_service.then_some((is_new, f64::from(load.requests)))
        });
        let (new, old): (Vec<_>, Vec<_>) = of_service.partition(|(is_new, _)| *is_new);
        self.open_at_new = new.into_iter().map(|(_, open)| open).sum();
        // Later on the old servers lose what the new ones get.
        if self.stage == RolloutStage::Trial && self.progress(now) < PROBE_FROM {
            self.load.record(old.into_iter().map(|(_, open)| open));
        }
    }
}
