//! Return times of refused callers.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use crate::capacity::RequestRank;

/// Shortest retry delay; the time until new sums reach a host.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Fraction of a longest delay over which callers are spread that no earlier time is left for.
const LATE_SPREAD: f64 = 0.5;

/// Return times that a host gave to refused callers, by rank.
#[derive(Debug, Clone, Default)]
pub(super) struct ReturnSchedule {
    reserved_until: BTreeMap<RequestRank, Timestamp>,
}

impl ReturnSchedule {
    /// Reserves a return for `work` and returns the delay until then.
    ///
    /// `rate` is the work per second that this host may promise. A caller returns after those of its
    /// own and of more urgent ranks; `jitter` from 0 to 1 spreads those that come last.
    pub(super) fn reserve(
        &mut self,
        now: Timestamp,
        rank: RequestRank,
        work: f64,
        rate: f64,
        jitter: f64,
    ) -> Duration {
        let earlier = self.reserved_until.range(..=rank);
        let reserved = earlier.map(|(_, until)| *until).max().unwrap_or(now);
        let latest = now + MAX_RETRY_DELAY;
        let returns_at = reserved.max(now + MIN_RETRY_DELAY);
        if returns_at >= latest {
            return MAX_RETRY_DELAY.mul_f64(1.0 - LATE_SPREAD * jitter.clamp(0.0, 1.0));
        }
        let duration = Duration::try_from_secs_f64(work / rate.max(f64::MIN_POSITIVE));
        let duration = duration.unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY);
        self.reserved_until.insert(rank, returns_at + duration);
        returns_at.since(now)
    }
}
