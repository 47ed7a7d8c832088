//! Pace of a server at the moment.

use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::ServerPace;

/// Time after which a third of what an observation says of the moment is left.
///
/// Machines that are shared change their pace a few times a second.
const MEMORY: Duration = Duration::from_millis(400);
/// Age from which an observation says nothing of the moment.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Weight of one observation in the server's mean pace.
const MEAN_WEIGHT: f64 = 0.05;
/// Bounds on the pace relative to the server's own mean.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 4.0;

/// Pace of a server at the moment, relative to its own mean.
///
/// The last observation of this host counts fully while it is fresh and less with its age; then
/// nothing is known of the moment. A word that never changes is neutral, as what lasts is part of
/// the lasting speed. The pace is never told to other hosts: it would be out of date on arrival, and
/// all of them would send to the server that was fast last.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::speed::{MomentPace, ServerPace};
///
/// let mut pace = MomentPace::default();
/// pace.observe(Timestamp::ZERO, ServerPace::from_percent(250).unwrap());
/// let fresh = pace.ratio(Timestamp::ZERO);
/// let stale = pace.ratio(Timestamp::from_millis(2_000));
/// assert!(fresh > 2.3 && stale == 1.0);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct MomentPace {
    last: Option<(Timestamp, f64)>,
    mean: f64,
}

impl Default for MomentPace {
    fn default() -> Self {
        Self {
            last: None,
            mean: 1.0,
        }
    }
}

impl MomentPace {
    /// Records an observation.
    pub fn observe(&mut self, now: Timestamp, pace: ServerPace) {
        let ratio = pace.ratio();
        self.mean += (ratio - self.mean) * MEAN_WEIGHT;
        self.last = Some((now, ratio));
    }

    /// Returns the expected time of work at `now`, as a ratio to its usual time.
    #[must_use]
    pub fn ratio(&self, now: Timestamp) -> f64 {
        let Some((at, pace)) = self.last else {
            return 1.0;
        };
        let age = now.since(at);
        if age >= MAX_AGE {
            return 1.0;
        }
        let remaining = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.relative(self.mean + (pace - self.mean) * remaining)
    }

    /// Returns the last observation relative to the mean, if it is fresh.
    ///
    /// It then explains a time that ended at `now`.
    #[must_use]
    pub fn fresh_ratio(&self, now: Timestamp) -> Option<f64> {
        let fresh = self.last.filter(|(at, _)| now.since(*at) <= MEMORY);
        fresh.map(|(_, pace)| self.relative(pace))
    }

    fn relative(&self, pace: f64) -> f64 {
        (pace / self.mean).clamp(MIN_RATIO, MAX_RATIO)
    }

    /// Returns the age of the last observation.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.last.map(|(at, _)| now.since(at))
    }
}
