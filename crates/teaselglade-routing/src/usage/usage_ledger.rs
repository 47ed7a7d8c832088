//! Requests that began to run, by organisation and window of wall time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;

/// Windows that are passed on to peers: the open one and those that may be due.
const SHARED_WINDOWS: u64 = 3;
/// Time after a window's end for which peers' last counts may be under way.
const SETTLE_SPAN: Duration = Duration::from_millis(800);
/// Time after a window's end after which a silent peer's last counts have to do.
const SILENT_SPAN: Duration = Duration::from_secs(5);

/// Counts of one window at one host.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// Requests that began to run, by organisation.
    pub counts: BTreeMap<String, u64>,
}

#[derive(Debug, Clone)]
struct PeerCounts {
    heard: Timestamp,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
}

/// Requests that began to run, by organisation and window of wall time.
///
/// Every host tells its peers its counts as they grow, so that a host that dies takes with it only
/// what it counted since its last report. A peer's incarnations are kept apart and added up.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::usage::UsageLedger;
///
/// let mut ledger = UsageLedger::new(Duration::from_secs(5));
/// ledger.count(Timestamp::from_millis(12_000), "halloran");
/// assert_eq!(ledger.total(2).counts["halloran"], 1);
/// ```
#[derive(Debug, Clone)]
pub struct UsageLedger {
    span: Duration,
    own: BTreeMap<u64, BTreeMap<String, u64>>,
    peers: BTreeMap<(String, u64), PeerCounts>,
    /// First window that this host saw whole, or has peers' counts of.
    first: Option<u64>,
    decided: BTreeSet<u64>,
}

impl UsageLedger {
    /// Makes a ledger with windows of the given length.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span: span.max(Duration::from_millis(1)),
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            first: None,
            decided: BTreeSet::new(),
        }
    }

    /// Counts a request that began to run.
    pub fn count(&mut self, wall: Timestamp, organisation: &str) {
        let counts = self.own.entry(self.window(wall)).or_default();
        match counts.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                counts.insert(organisation.to_owned(), 1);
            }
        }
    }

    /// Returns this host's latest counts, for its peers.
    pub fn recent_counts(&mut self, wall: Timestamp) -> Vec<WindowCounts> {
        let oldest = self.window(wall).saturating_sub(SHARED_WINDOWS);
        self.own = self.own.split_off(&oldest);
        let windows = self.own.iter().map(|(window, counts)| WindowCounts {
            window: *window,
            counts: counts.clone(),
        });
        windows.collect()
    }

    /// Takes in a peer's counts; `start` tells its incarnations apart.
    pub fn merge_peer_counts(
        &mut self,
        wall: Timestamp,
        peer: &str,
        start: u64,
        windows: Vec<WindowCounts>,
    ) {
        let oldest = self.window(wall).saturating_sub(2 * SHARED_WINDOWS);
        let record = self
            .peers
            .entry((peer.to_owned(), start))
            .or_insert(PeerCounts {
                heard: wall,
                windows: BTreeMap::new(),
            });
        record.heard = record.heard.max(wall);
        for heard in windows {
            let known = record.windows.entry(heard.window).or_default();
            for (organisation, count) in heard.counts {
                let entry = known.entry(organisation).or_default();
                *entry = (*entry).max(count);
            }
        }
        record.windows = record.windows.split_off(&oldest);
        self.peers
            .retain(|_, peer| !peer.windows.is_empty() || peer.heard >= wall);
    }

    /// Notes that a window's report was decided.
    pub fn record_decided(&mut self, window: u64) {
        self.decided.insert(window);
        while self.decided.len() > 64 {
            self.decided.pop_first();
        }
    }

    /// Returns the oldest window whose report is due and not decided.
    ///
    /// A window is due when every peer was heard of after its end, or when the silent ones were
    /// waited for long enough.
    pub fn due_window(&mut self, wall: Timestamp) -> Option<u64> {
        let current = self.window(wall);
        let first = *self.first.get_or_insert(current.saturating_sub(1));
        let oldest = first.max(current.saturating_sub(SHARED_WINDOWS));
        (oldest..current)
            .find(|window| !self.decided.contains(window) && self.is_settled(wall, *window))
    }

    /// Returns all hosts' counts of a window.
    #[must_use]
    pub fn total(&self, window: u64) -> WindowCounts {
        let own = self.own.get(&window).into_iter();
        let heard = self
            .peers
            .values()
            .filter_map(|peer| peer.windows.get(&window));
        let mut counts = BTreeMap::new();
        for (organisation, count) in own.chain(heard).flatten() {
            *counts.entry(organisation.clone()).or_default() += count;
        }
        WindowCounts { window, counts }
    }

    fn is_settled(&self, wall: Timestamp, window: u64) -> bool {
        let end = self.end(window);
        let since_end = wall.since(end);
        if since_end < SETTLE_SPAN {
            return false;
        }
        let all_heard = self.peers.values().all(|peer| peer.heard > end);
        all_heard || since_end >= SILENT_SPAN
    }

    fn window(&self, wall: Timestamp) -> u64 {
        wall.as_micros() / self.span.as_micros() as u64
    }

    fn end(&self, window: u64) -> Timestamp {
        Timestamp::from_micros((window + 1) * self.span.as_micros() as u64)
    }
}
