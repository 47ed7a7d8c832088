//! Latest demands of all sources.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{DemandMessage, LimitId};

/// Age up to which a source's demands count as fresh.
const FRESH: Duration = Duration::from_secs(5);

teaselglade_core::arena_key! {
    /// Key of a source of demands: a host, or a data centre that is summed up.
    pub struct DemandSource(u32);
}

#[derive(Debug, Clone)]
struct SourceRecord {
    message: DemandMessage,
    heard: Timestamp,
}

/// Latest demands of all other sources.
///
/// A source that falls silent keeps counting with its last demands, as it may still use its
/// share; only [`DemandTracker::remove_source`] frees it.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::limit::{DemandTracker, DemandSource, DemandMessage};
///
/// let mut tracker = DemandTracker::default();
/// let peer = DemandSource::new(1);
/// tracker.receive(Timestamp::from_millis(5), peer, DemandMessage::from_host(1, Vec::new()));
/// assert_eq!(tracker.hosts(), 1);
/// tracker.remove_source(peer);
/// assert_eq!(tracker.hosts(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct DemandTracker {
    sources: BTreeMap<DemandSource, SourceRecord>,
}

impl DemandTracker {
    /// Takes in a message; one that is not newer than the last of its source is ignored.
    pub fn receive(&mut self, now: Timestamp, source: DemandSource, message: DemandMessage) {
        let known = self.sources.get(&source);
        if known.is_some_and(|known| message.number <= known.message.number) {
            return;
        }
        let record = SourceRecord {
            message,
            heard: now,
        };
        self.sources.insert(source, record);
    }

    /// Notes a source that is known to live but has sent nothing yet.
    pub fn add_source(&mut self, source: DemandSource) {
        self.sources.entry(source).or_insert_with(|| SourceRecord {
            message: DemandMessage {
                hosts: 1,
                ..DemandMessage::default()
            },
            heard: Timestamp::ZERO,
        });
    }

    /// Frees the share of a source that is gone for good.
    pub fn remove_source(&mut self, source: DemandSource) {
        self.sources.remove(&source);
    }

    /// Returns how many entry hosts the sources speak for.
    #[must_use]
    pub fn hosts(&self) -> u32 {
        self.sources
            .values()
            .map(|record| record.message.hosts)
            .sum()
    }

    /// Returns what all sources ask for.
    #[must_use]
    pub fn demand(&self, limit: LimitId) -> f64 {
        self.sources
            .values()
            .map(|record| record.message.demand(limit))
            .sum()
    }

    /// Returns whether all sources were heard of lately.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.sources
            .values()
            .all(|record| now.since(record.heard) <= FRESH)
    }
}
