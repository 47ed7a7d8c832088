//! Ended servers as they count against one subject.

use std::collections::HashSet;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

/// Time within which servers that end may have a common cause.
///
/// It exceeds the time of two messages, by which ages from peers are off.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);

/// Incarnation of a server that ended, and when.
pub(super) type ServerEnd = (u64, Timestamp);

/// Ended servers that other subjects than the one in question explain.
#[derive(Debug, Clone, Default)]
pub(super) struct ExplainedEnds {
    incarnations: HashSet<u64>,
}

impl ExplainedEnds {
    pub(super) fn extend(&mut self, incarnations: impl IntoIterator<Item = u64>) {
        self.incarnations.extend(incarnations);
    }

    /// Counts the ends that are not explained; those with a common cause count as one.
    pub(super) fn count_groups(&self, ends: impl Iterator<Item = ServerEnd>) -> usize {
        let ends = ends.filter(|(server, _)| !self.incarnations.contains(server));
        let mut times: Vec<Timestamp> = ends.map(|(_, ended_at)| ended_at).collect();
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

    /// Counts the ends that are not explained, each for itself.
    pub(super) fn count_each(&self, ends: impl Iterator<Item = ServerEnd>) -> usize {
        let ends = ends.filter(|(server, _)| !self.incarnations.contains(server));
        ends.count()
    }

    /// Counts the ends of a request that are not explained.
    ///
    /// One request may run on several servers at a time and end them together, so each end counts;
    /// but not if all of them ended together, which may have a common cause.
    pub(super) fn count_of_request(&self, ends: impl Iterator<Item = ServerEnd> + Clone) -> usize {
        match self.count_groups(ends.clone()) {
            groups @ 0..=1 => groups,
            _ => self.count_each(ends),
        }
    }
}
