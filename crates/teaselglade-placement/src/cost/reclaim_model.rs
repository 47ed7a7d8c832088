//! Probability that hosts of a data centre are reclaimed.

use std::time::Duration;

use teaselglade_core::id::ZoneKey;
use teaselglade_core::time::Timestamp;

use crate::server::{ServerDirectory, ServerState};

const PRIOR_RECLAIMS: f64 = 1.0;
const PRIOR_SERVER_HOURS: f64 = 2.0;
const DECAY_HALF_LIFE: Duration = Duration::from_hours(2);
const UPTIME_INTERVAL: Duration = Duration::from_secs(5);
const SECONDS_PER_HOUR: f64 = 3_600.0;

#[derive(Debug, Clone, Copy)]
struct ZoneReclaims {
    reclaims: f64,
    server_hours: f64,
}

impl Default for ZoneReclaims {
    fn default() -> Self {
        Self {
            reclaims: PRIOR_RECLAIMS,
            server_hours: PRIOR_SERVER_HOURS,
        }
    }
}

/// Estimates the probability of reclaims per data centre, from reclaim notices and uptime.
///
/// The estimate is a rate in reclaims per server hour. It starts at a prior, and observations
/// decay towards it with a half-life.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ZoneKey;
/// use teaselglade_placement::cost::ReclaimModel;
///
/// let mut model = ReclaimModel::default();
/// let (stable, volatile) = (ZoneKey::new(0), ZoneKey::new(1));
/// model.record_notice(volatile);
/// assert!(model.probability(volatile, 60.0) > model.probability(stable, 60.0));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReclaimModel {
    zones: Vec<ZoneReclaims>,
    last_uptime_at: Timestamp,
}

impl ReclaimModel {
    /// Records a reclaim notice for a host of a data centre.
    pub fn record_notice(&mut self, zone: ZoneKey) {
        self.zone_mut(zone).reclaims += 1.0;
    }

    /// Adds the time since the last call to the uptime of live reclaimable servers.
    ///
    /// Calls within `UPTIME_INTERVAL` of the last one are ignored.
    pub fn record_uptime(&mut self, now: Timestamp, directory: &ServerDirectory) {
        let elapsed = now.since(self.last_uptime_at);
        if elapsed < UPTIME_INTERVAL {
            return;
        }
        let is_first = self.last_uptime_at == Timestamp::ZERO;
        self.last_uptime_at = now;
        if is_first {
            return;
        }
        self.decay(elapsed);
        let hours = elapsed.as_secs_f64() / SECONDS_PER_HOUR;
        let live = directory
            .entries()
            .filter(|entry| entry.state == ServerState::Live && entry.attributes.reclaimable);
        for entry in live {
            self.zone_mut(entry.attributes.zone).server_hours += hours;
        }
    }

    /// Returns the probability that a reclaimable host is reclaimed within `seconds`.
    #[must_use]
    pub fn probability(&self, zone: ZoneKey, seconds: f64) -> f64 {
        let zone_reclaims = self.zones.get(zone.index()).copied().unwrap_or_default();
        let expected_reclaims =
            zone_reclaims.reclaims / zone_reclaims.server_hours * seconds / SECONDS_PER_HOUR;
        expected_reclaims / (1.0 + expected_reclaims)
    }

    fn decay(&mut self, elapsed: Duration) {
        let retained = 0.5_f64.powf(elapsed.as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64());
        for zone_reclaims in &mut self.zones {
            zone_reclaims.reclaims =
                PRIOR_RECLAIMS + (zone_reclaims.reclaims - PRIOR_RECLAIMS) * retained;
            zone_reclaims.server_hours =
                PRIOR_SERVER_HOURS + (zone_reclaims.server_hours - PRIOR_SERVER_HOURS) * retained;
        }
    }

    fn zone_mut(&mut self, zone: ZoneKey) -> &mut ZoneReclaims {
        if self.zones.len() <= zone.index() {
            self.zones
                .resize_with(zone.index() + 1, ZoneReclaims::default);
        }
        &mut self.zones[zone.index()]
    }
}
