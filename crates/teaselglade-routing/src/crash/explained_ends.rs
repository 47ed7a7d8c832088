//! Ended servers that quarantined parts explain.

use std::collections::HashSet;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time within which servers that end count as one, as they may have a common cause.
///
/// It exceeds the time of two messages, by which ages from peers are off.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);

/// Ended servers that quarantined parts explain.
#[derive(Debug, Clone, Default)]
pub(super) struct ExplainedEnds {
    incarnations: HashSet<u64>,
}

impl ExplainedEnds {
    pub(super) fn extend(&mut self, incarnations: impl Iterator<Item = u64>) {
        self.incarnations.extend(incarnations);
    }

    /// Counts the ends that are not explained; those with a common cause count as one.
    pub(super) fn count_others(&self, ends: impl Iterator<Item = (u64, Timestamp)>) -> usize {
        let mut times: Vec<Timestamp> = ends
            .filter(|(incarnation, _)| !self.incarnations.contains(incarnation))
            .map(|(_, ended_at)| ended_at)
            .collect();
        times.sort_unstable();
        let mut last_counted: Option<Timestamp> = None;
        let counted = times.into_iter().filter(|time| {
            let is_apart = last_counted.is_none_or(|last| time.since(last) >= COMMON_CAUSE_WINDOW);
            if is_apart {
                last_counted = Some(*time);
            }
            is_apart
        });
        counted.count()
    }
}
