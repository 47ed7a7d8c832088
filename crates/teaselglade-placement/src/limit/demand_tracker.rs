//! Latest demands of all other sources.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{DemandMessage, LimitId};

/// Age after which the demands of a source are stale.
const STALENESS_TIMEOUT: Duration = Duration::from_secs(5);

teaselglade_core::arena_key! {
    /// Key of a source of demands: a host, or the aggregate of a data centre.
    pub struct DemandSource(u32);
}

#[derive(Debug, Clone)]
struct SourceRecord {
    message: DemandMessage,
    received_at: Timestamp,
}

/// Tracks the latest demands of all other sources.
///
/// The last demands of a source that stops sending still count, because it may still use its
/// share. Only [`DemandTracker::remove_source`] frees that share.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::limit::{DemandMessage, DemandSource, DemandTracker};
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
    /// Stores a message if its number is above the last one of its source.
    pub fn receive(&mut self, now: Timestamp, source: DemandSource, message: DemandMessage) {
        let known = self.sources.get(&source);
        if known.is_some_and(|known| message.number <= known.message.number) {
            return;
        }
        let record = SourceRecord {
            message,
            received_at: now,
        };
        self.sources.insert(source, record);
    }

    /// Adds a live source that has sent no message yet; a known source is unchanged.
    pub fn add_source(&mut self, source: DemandSource) {
        self.sources.entry(source).or_insert_with(|| SourceRecord {
            message: DemandMessage {
                hosts: 1,
                ..DemandMessage::default()
            },
            received_at: Timestamp::ZERO,
        });
    }

    /// Removes a source that has left permanently, which frees its share.
    pub fn remove_source(&mut self, source: DemandSource) {
        self.sources.remove(&source);
    }

    /// Returns the number of entry hosts that the sources cover.
    #[must_use]
    pub fn hosts(&self) -> u32 {
        self.sources
            .values()
            .map(|record| record.message.hosts)
            .sum()
    }

    /// Returns the total demand of all sources on a limit.
    #[must_use]
    pub fn demand(&self, limit: LimitId) -> f64 {
        self.sources
            .values()
            .map(|record| record.message.demand(limit))
            .sum()
    }

    /// Returns whether no source has stale demands.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.sources
            .values()
            .all(|record| now.since(record.received_at) <= STALENESS_TIMEOUT)
    }
}
