//! How likely hosts of a zone are to be taken back.

use std::time::Duration;

use teaselglade_core::id::ZoneKey;
use teaselglade_core::time::Timestamp;

use crate::server::{ServerDirectory, ServerState};

const FIRST_RECLAIMS: f64 = 1.0;
const FIRST_SERVER_HOURS: f64 = 2.0;
const HALF_LIFE: Duration = Duration::from_hours(2);
const COUNT_INTERVAL: Duration = Duration::from_secs(5);
const SECONDS_PER_HOUR: f64 = 3_600.0;

#[derive(Debug, Clone, Copy)]
struct ZoneRecord {
    reclaims: f64,
    server_hours: f64,
}

impl Default for ZoneRecord {
    fn default() -> Self {
        Self {
            reclaims: FIRST_RECLAIMS,
            server_hours: FIRST_SERVER_HOURS,
        }
    }
}

/// How likely hosts of a zone are to be taken back, learned from notices.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ZoneKey;
/// use teaselglade_placement::cost::ReclaimModel;
///
/// let mut model = ReclaimModel::default();
/// let (calm, wild) = (ZoneKey::new(0), ZoneKey::new(1));
/// model.notice(wild);
/// assert!(model.probability(wild, 60.0) > model.probability(calm, 60.0));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReclaimModel {
    zones: Vec<ZoneRecord>,
    counted: Timestamp,
}

impl ReclaimModel {
    /// Counts a notice for a reclaimable host of a zone.
    pub fn notice(&mut self, zone: ZoneKey) {
        self.zone_mut(zone).reclaims += 1.0;
    }

    /// Counts the time that the reclaimable servers of the directory have lived.
    pub fn count(&mut self, now: Timestamp, directory: &ServerDirectory) {
        let span = now.since(self.counted);
        if span < COUNT_INTERVAL {
            return;
        }
        let is_first = self.counted == Timestamp::ZERO;
        self.counted = now;
        if is_first {
            return;
        }
        self.fade(span);
        let hours = span.as_secs_f64() / SECONDS_PER_HOUR;
        let live = directory
            .entries()
            .filter(|entry| entry.state == ServerState::Live && entry.attributes.reclaimable);
        for entry in live {
            self.zone_mut(entry.attributes.zone).server_hours += hours;
        }
    }

    /// Returns the probability that a reclaimable host of a zone is taken back within `seconds`.
    #[must_use]
    pub fn probability(&self, zone: ZoneKey, seconds: f64) -> f64 {
        let record = self.zones.get(zone.index()).copied().unwrap_or_default();
        let expected = record.reclaims / record.server_hours * seconds / SECONDS_PER_HOUR;
        expected / (1.0 + expected)
    }

    fn fade(&mut self, span: Duration) {
        let kept = 0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for record in &mut self.zones {
            record.reclaims = FIRST_RECLAIMS + (record.reclaims - FIRST_RECLAIMS) * kept;
            record.server_hours =
                FIRST_SERVER_HOURS + (record.server_hours - FIRST_SERVER_HOURS) * kept;
        }
    }

    fn zone_mut(&mut self, zone: ZoneKey) -> &mut ZoneRecord {
        if self.zones.len() <= zone.index() {
            self.zones
                .resize_with(zone.index() + 1, ZoneRecord::default);
        }
        &mut self.zones[zone.index()]
    }
}
