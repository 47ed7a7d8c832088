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

/// Ended servers that others than the subject in question explain, and all that are known.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndView<'a> {
    /// Incarnations whose end another subject explains.
    pub(super) explained: &'a HashSet<u64>,
    /// Ends of servers under any subject, in order of time.
    pub(super) known: &'a [ServerEnd],
}

impl EndView<'_> {
    /// Counts the ends that are not explained; those with a common cause count as one.
    pub(super) fn count_groups(&self, ends: impl Iterator<Item = ServerEnd>) -> usize {
        groups_of(self.unexplained(ends)).len()
    }

    /// Counts the ends that are not explained, each for itself.
    pub(super) fn count_each(&self, ends: impl Iterator<Item = ServerEnd>) -> usize {
        self.unexplained(ends).len()
    }

    /// Counts the ends that are not explained, for a request with all its ends.
    ///
    /// Servers that ended together count as one only if another server ended with them under other
    /// requests: one request may run on several servers at a time, and end them together.
    pub(super) fn count_of_request(&self, ends: &[ServerEnd]) -> usize {
        let own: HashSet<u64> = ends.iter().map(|(server, _)| *server).collect();
        let groups = groups_of(self.unexplained(ends.iter().copied()));
        let counts = groups.iter().map(|group| {
            if self.has_other_end(group, &own) {
                1
            } else {
                group.len()
            }
        });
        counts.sum()
    }

    /// Returns whether a server that is not among `own` ended together with a group.
    fn has_other_end(&self, group: &[ServerEnd], own: &HashSet<u64>) -> bool {
        let (Some((_, first)), Some((_, last))) = (group.first(), group.last()) else {
            return false;
        };
        let from = first.before(COMMON_CAUSE_WINDOW);
        let start = self
            .known
            .partition_point(|(_, ended_at)| *ended_at <= from);
        let near = self.known[start..].iter();
        let mut near = near.take_while(|(_, ended_at)| ended_at.since(*last) < COMMON_CAUSE_WINDOW);
        near.any(|(server, _)| !own.contains(server))
    }

    fn unexplained(&self, ends: impl Iterator<Item = ServerEnd>) -> Vec<ServerEnd> {
        ends.filter(|(server, _)| !self.explained.contains(server))
            .collect()
    }
}

/// Splits ends into groups that may have a common cause, in order of time.
fn groups_of(mut ends: Vec<ServerEnd>) -> Vec<Vec<ServerEnd>> {
    ends.sort_unstable_by_key(|(_, ended_at)| *ended_at);
    let mut groups: Vec<Vec<ServerEnd>> = Vec::new();
    for end in ends {
        match groups.last_mut() {
            Some(group) if end.1.since(group[0].1) < COMMON_CAUSE_WINDOW => group.push(end),
            _ => groups.push(vec![end]),
        }
    }
    groups
}
