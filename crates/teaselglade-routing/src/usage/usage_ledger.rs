//! Counts of requests that began to run, by organisation and window of wall time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;

/// Number of past windows that are gossiped with the open one.
///
/// Their reports may still be due.
const GOSSIPED_WINDOWS: u64 = 3;
/// Time after a window's end in which peers' last counts may still arrive.
const SETTLE_WINDOW: Duration = Duration::from_millis(800);
/// Time after a window's end after which a report no longer waits for unseen peers.
///
/// Their last known counts are used.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of decided reports that are kept: those that a new leader may send again, and one more.
const MAX_DECIDED_REPORTS: usize = 4;

/// Counts of one window, of one host or of all.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Index of the window since the Unix epoch.
    pub window: u64,
    /// Number of requests that began to run, by organisation.
    pub counts: BTreeMap<String, u64>,
}

#[derive(Debug, Clone)]
struct PeerCounts {
    last_seen: Timestamp,
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
}

/// Counts requests that began to run, by organisation and window of wall time.
///
/// Every host gossips its counts as they grow, so that a crashed host loses only what it counted
/// since its last digest. Incarnations of a peer are kept apart and added up.
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
    window_length: Duration,
    own: BTreeMap<u64, BTreeMap<String, u64>>,
    peers: BTreeMap<(String, u64), PeerCounts>,
    /// Window in which this host sent its first digest; it receives peers' counts from then on.
    joined_in: Option<u64>,
    /// First window that may be due, once this host was asked for one.
    ///
    /// It is the first one that this host saw whole, or else the last one that had ended then, of
    /// which peers still send their counts.
    first_window: Option<u64>,
    /// Decided reports of recent windows, known from the log or from the leader's digests.
    decided: BTreeMap<u64, WindowCounts>,
}

impl UsageLedger {
    /// Creates a ledger with windows of the given length.
    #[must_use]
    pub fn new(window_length: Duration) -> Self {
        Self {
            window_length: window_length.max(Duration::from_millis(1)),
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            joined_in: None,
            first_window: None,
            decided: BTreeMap::new(),
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

    /// Returns this host's counts of recent windows, for its digest, and drops older ones.
    pub fn recent_counts(&mut self, wall: Timestamp) -> Vec<WindowCounts> {
        let current = self.window(wall);
        self.joined_in.get_or_insert(current);
        let oldest = current.saturating_sub(GOSSIPED_WINDOWS);
        self.own = self.own.split_off(&oldest);
        let windows = self.own.iter().map(|(window, counts)| WindowCounts {
            window: *window,
            counts: counts.clone(),
        });
        windows.collect()
    }

    /// Merges a peer's counts; `incarnation` changes whenever the peer restarts.
    pub fn merge_peer_counts(
        &mut self,
        wall: Timestamp,
        peer: &str,
        incarnation: u64,
        windows: Vec<WindowCounts>,
    ) {
        let oldest = self.window(wall).saturating_sub(2 * GOSSIPED_WINDOWS);
        let peer_counts = self
            .peers
            .entry((peer.to_owned(), incarnation))
            .or_insert(PeerCounts {
                last_seen: wall,
                windows: BTreeMap::new(),
            });
        peer_counts.last_seen = peer_counts.last_seen.max(wall);
        for received in windows {
            let merged = peer_counts.windows.entry(received.window).or_default();
            for (organisation, count) in received.counts {
                let entry = merged.entry(organisation).or_default();
                *entry = (*entry).max(count);
            }
        }
        peer_counts.windows = peer_counts.windows.split_off(&oldest);
        self.peers
            .retain(|_, peer| !peer.windows.is_empty() || peer.last_seen >= wall);
    }

    /// Records the decided report of a window, so that it is no longer due.
    ///
    /// The report that was recorded first is kept.
    pub fn record_decided(&mut self, report: WindowCounts) {
        self.decided.entry(report.window).or_insert(report);
        while self.decided.len() > MAX_DECIDED_REPORTS {
            self.decided.pop_first();
        }
    }

    /// Returns the decided reports of recent windows, for the leader's digest.
    #[must_use]
    pub fn decided_reports(&self) -> Vec<WindowCounts> {
        self.decided.values().cloned().collect()
    }

    /// Records that windows before `window` are not to be decided any more.
    pub fn skip_before(&mut self, window: u64) {
        let first_window = self.first_window.unwrap_or_default();
        self.first_window = Some(first_window.max(window));
    }

    /// Returns the oldest window whose report is due and not decided.
    ///
    /// A window is due when every peer was seen after its end, or when the timeout for unseen peers
    /// has passed.
    pub fn due_window(&mut self, wall: Timestamp) -> Option<u64> {
        let current = self.window(wall);
        let first_whole = self.joined_in.map_or(current, |joined_in| joined_in + 1);
        let first_due = first_whole.min(current.saturating_sub(1));
        let first_window = *self.first_window.get_or_insert(first_due);
        let oldest = first_window.max(current.saturating_sub(GOSSIPED_WINDOWS));
        (oldest..current)
            .find(|window| !self.decided.contains_key(window) && self.is_settled(wall, *window))
    }

    /// Returns the sum of all hosts' counts of a window.
    #[must_use]
    pub fn total(&self, window: u64) -> WindowCounts {
        let own = self.own.get(&window).into_iter();
        let peers = self
            .peers
            .values()
            .filter_map(|peer| peer.windows.get(&window));
        let mut counts = BTreeMap::new();
        for (organisation, count) in own.chain(peers).flatten() {
            *counts.entry(organisation.clone()).or_default() += count;
        }
        WindowCounts { window, counts }
    }

    fn is_settled(&self, wall: Timestamp, window: u64) -> bool {
        let end = self.end(window);
        let since_end = wall.since(end);
        if since_end < SETTLE_WINDOW {
            return false;
        }
        let all_seen = self.peers.values().all(|peer| peer.last_seen > end);
        all_seen || since_end >= PEER_TIMEOUT
    }

    fn window(&self, wall: Timestamp) -> u64 {
        wall.as_micros() / self.window_length.as_micros() as u64
    }

    fn end(&self, window: u64) -> Timestamp {
        Timestamp::from_micros((window + 1) * self.window_length.as_micros() as u64)
    }
}
