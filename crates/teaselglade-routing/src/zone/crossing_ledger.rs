//! What crossings for cached prompt parts have cost so far.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time after which a part that no request crossed for is forgotten.
const PART_TTL: Duration = Duration::from_mins(1);
/// Maximum number of parts; about 100 KB.
const MAX_PARTS: usize = 4_096;

/// Sums what this host's requests paid for crossing to where a prompt part is cached.
///
/// One crossing is cheaper than prefilling a shared part again, many are not. How often a part will
/// be used is unknown, so a request is charged what was paid for its part before: once the
/// crossings have cost as much as the prefill, the part is prefilled at home. In total that is at
/// most twice the cost of the better choice.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::zone::CrossingLedger;
///
/// let mut ledger = CrossingLedger::default();
/// ledger.record_crossing(Timestamp::ZERO, 7, Duration::from_millis(9));
/// assert_eq!(ledger.paid(7), Duration::from_millis(9));
/// ledger.record_home(7);
/// assert_eq!(ledger.paid(7), Duration::ZERO);
/// ```
#[derive(Debug, Default)]
pub struct CrossingLedger {
    parts: HashMap<u64, (Timestamp, Duration)>,
}

impl CrossingLedger {
    /// Records that a request with this part was sent to another zone at a cost.
    pub fn record_crossing(&mut self, now: Timestamp, part: u64, cost: Duration) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.prune(now);
        }
        if self.parts.len() < MAX_PARTS || self.parts.contains_key(&part) {
            let (used_at, paid) = self.parts.entry(part).or_default();
            *used_at = now;
            *paid += cost;
        }
    }

    /// Records that a request with this part ran at home, where the part is cached from now on.
    pub fn record_home(&mut self, part: u64) {
        self.parts.remove(&part);
    }

    /// Returns what the crossings for this part have cost so far.
    #[must_use]
    pub fn paid(&self, part: u64) -> Duration {
        self.parts
            .get(&part)
            .map_or(Duration::ZERO, |(_, paid)| *paid)
    }

    /// Forgets parts that were not used for a while.
    pub fn prune(&mut self, now: Timestamp) {
        self.parts
            .retain(|_, (used_at, _)| now.since(*used_at) < PART_TTL);
    }
}
