//! Choice of the peer from which a host fetches a newer table.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::time::Timestamp;

/// Age at which an announcement expires; a peer that is alive announces its table again before.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);
/// Time for which a peer is not asked again after a fetch from it failed.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct TableSource {
    version: u64,
    announced_at: Timestamp,
    /// Time from which the peer may be asked.
    available_at: Timestamp,
}

impl TableSource {
    fn is_useful(&self, now: Timestamp, active_version: u64) -> bool {
        self.version > active_version && now.since(self.announced_at) < ANNOUNCEMENT_TTL
    }
}

/// Chooses the peer from which a host fetches a newer table.
///
/// When a version is published, hundreds of hosts learn of it from a few that have it, which cannot
/// serve all of them at once. Each host asks one peer at a time, chosen at random among those that
/// have the newest version and are not busy; every host that has fetched the table serves it too.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::gossip::FetchPlanner;
///
/// let mut planner = FetchPlanner::new(7);
/// let (now, peer) = (Timestamp::from_millis(10), "127.0.0.1:7600".parse()?);
/// planner.record_announcement(now, peer, 4);
/// assert_eq!(planner.next_source(now, 3), Some(peer));
/// assert_eq!(planner.next_source(now, 4), None);
/// planner.record_busy(now, peer, Duration::from_millis(80));
/// assert_eq!(planner.next_source(now, 3), None);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct FetchPlanner {
    sources: BTreeMap<SocketAddr, TableSource>,
    random: Pcg32,
}

impl FetchPlanner {
    /// Creates a planner without sources; `seed` seeds the choice among them.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            sources: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Records that a peer has a version of the table.
    pub fn record_announcement(&mut self, now: Timestamp, peer: SocketAddr, version: u64) {
        let source = self.sources.entry(peer).or_insert(TableSource {
            version,
            announced_at: now,
            available_at: now,
        });
        source.version = source.version.max(version);
        source.announced_at = now;
    }

    /// Records that a peer has no bandwidth left for a fetch until `delay` has passed.
    ///
    /// The peer is asked at a random time after that, because it tells many hosts the same delay.
    pub fn record_busy(&mut self, now: Timestamp, peer: SocketAddr, delay: Duration) {
        if let Some(source) = self.sources.get_mut(&peer) {
            source.available_at = now + delay.mul_f64(1.0 + self.random.random::<f64>());
        }
    }

    /// Records that a fetch from a peer failed.
    pub fn record_failure(&mut self, now: Timestamp, peer: SocketAddr) {
        self.record_busy(now, peer, FAILURE_DELAY);
    }

    /// Returns whether a peer that is known to have a newer table has to be asked later.
    #[must_use]
    pub fn is_waiting(&self, now: Timestamp, active_version: u64) -> bool {
        self.sources
            .values()
            .any(|source| source.is_useful(now, active_version))
    }

    /// Returns the peer to ask now, if one announces a newer table than `active_version`.
    pub fn next_source(&mut self, now: Timestamp, active_version: u64) -> Option<SocketAddr> {
        self.sources
            .retain(|_, source| source.is_useful(now, active_version));
        let sources = self.sources.iter();
        let available = sources.filter(|(_, source)| source.available_at <= now);
        let newest = available.clone().map(|(_, source)| source.version).max()?;
        let newest_sources = available.filter(|(_, source)| source.version == newest);
        newest_sources
            .map(|(peer, _)| *peer)
            .choose(&mut self.random)
    }
}
