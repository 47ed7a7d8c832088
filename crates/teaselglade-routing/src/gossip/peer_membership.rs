//! The other hosts that this one knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg32;
use teaselglade_core::time::Timestamp;

use super::{CandidateHost, HostDigest, PeerAddress, name_hash};

/// Most peers that get one round's digest; the cost of a round does not grow with the fleet.
const MAX_FAN_OUT: usize = 12;
/// Most peers that a digest names.
const NAMED_PEERS: usize = 8;
/// Time of silence after which a host is taken to be gone for good.
///
/// Longer than any cut of the deployments' sheets, so that the part of a quota that a host behind
/// a cut may still use stays reserved.
const FORGET_AFTER: Duration = Duration::from_secs(15);
/// The same where a host is told of most others by a collector, and hears one of 86 every 8 s.
const FORGET_UNHEARD: Duration = Duration::from_mins(1);

/// Peers from which on a fleet is large, so that digests go through collectors.
const LARGE_FLEET: usize = 20;
/// Hosts that go first among the present ones and act for all.
///
/// The holder of the duties goes first, as a change costs a lease's time; then those that the store
/// answers, as the duties need it; then the names count.
/// They collect in a large fleet, each for its part of the others, and the duties pass among them;
/// the holder of the duties needs what a collector hears. Three, so that two may be lost at once.
const LEADING: usize = 3;
/// Hosts that read the store for all; the second one stands in for the first.
const READERS: usize = 2;
/// Time without word of any collector after which a host asks another one; two of their intervals
/// are 800 ms, and the switch takes one more.
const ASK_SPAN: Duration = Duration::from_millis(600);
/// Peers beside the collectors that get a digest in a large fleet, should all collectors fail.
const LARGE_FAN_OUT: usize = 2;
/// Hosts that go first and are told to all; twice the collectors, as some get lost.
const LEADERS: usize = 6;
/// Time of silence after which a host no longer counts as present; five lost digests in a row.
const PRESENT_SPAN: Duration = Duration::from_millis(1_100);
/// The same in a large fleet, where most hosts hear of the leading ones through a collector: its
/// 400 ms three times over, beside the 200 ms after which it hears of a host itself, and a margin.
const TOLD_SPAN: Duration = Duration::from_millis(1_800);

/// By what a host leads, the first in order first: the duties, then the store.
type LeadStanding = (bool, bool);

const fn lead_standing(is_leader: bool, store_reachable: bool) -> LeadStanding {
    (!is_leader, !store_reachable)
}

#[derive(Debug, Clone)]
struct PeerEntry {
    address: SocketAddr,
    start: u64,
    number: u64,
    heard: Timestamp,
    /// Whether the store answered the host when it was last heard.
    store_reachable: bool,
    is_leader: bool,
    /// Hash of the name of the collector that the host asks.
    asks: Option<u64>,
}

impl PeerEntry {
    /// Returns by what hosts lead, before their names.
    const fn standing(&self) -> LeadStanding {
        lead_standing(self.is_leader, self.store_reachable)
    }

    fn is_heard(&self, now: Timestamp, span: Duration) -> bool {
        self.start > 0 && now.since(self.heard) < span
    }
}

/// The other hosts that this one knows, from seeds, the store and digests.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::gossip::PeerMembership;
///
/// let mut roster = PeerMembership::new("edge-1", 7);
/// roster.add_seeds(["127.0.0.1:7600".parse()?]);
/// assert_eq!(roster.gossip_targets(Timestamp::ZERO).len(), 1);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct PeerMembership {
    own_name: String,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<String, PeerEntry>,
    /// How often this host turned to another collector.
    turns: u64,
    /// When it did so last.
    turned_at: Timestamp,
    /// Whether the store answers this host.
    store_reachable: bool,
    /// Whether this host holds the duties.
    is_leader: bool,
    /// Since when this host collects and so hears all that can reach it.
    collects_since: Option<Timestamp>,
    random: Pcg32,
}

impl PeerMembership {
    /// Makes an empty roster.
    #[must_use]
    pub fn new(own_name: impl Into<String>, seed: u64) -> Self {
        Self {
            own_name: own_name.into(),
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            turns: 0,
            turned_at: Timestamp::ZERO,
            store_reachable: true,
            is_leader: false,
            collects_since: None,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Adds addresses at which hosts may be found.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Notes a host that somebody else knows.
    pub fn add_peer(&mut self, now: Timestamp, peer: &PeerAddress) {
        if peer.name == self.own_name {
            return;
        }
        let entry = PeerEntry {
            address: peer.address,
            start: 0,
            number: 0,
            heard: now,
            store_reachable: false,
            is_leader: false,
            asks: None,
        };
        self.peers.entry(peer.name.clone()).or_insert(entry);
    }

    /// Notes a digest and returns whether it is newer than all that was heard of its host.
    pub fn record_digest(&mut self, now: Timestamp, digest: &HostDigest) -> bool {
        let (peer, start, number) = (&digest.host, digest.started_at_us, digest.sequence);
        if peer.name == self.own_name {
            return false;
        }
        let known = self.peers.get(&peer.name);
        if known.is_some_and(|known| (known.start, known.number) >= (start, number)) {
            return false;
        }
        let entry = PeerEntry {
            address: peer.address,
            start,
            number,
            heard: now,
            store_reachable: digest.store_reachable,
            is_leader: digest.is_leader,
            asks: digest.requested_aggregator,
        };
        self.peers.insert(peer.name.clone(), entry);
        true
    }

    /// Returns the addresses that get this round's digest.
    pub fn gossip_targets(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = self.peers.values().map(|peer| peer.address).collect();
        let fan_out = if self.is_large() {
            LARGE_FAN_OUT
        } else {
            MAX_FAN_OUT
        };
        let mut targets = known
            .iter()
            .copied()
            .choose_multiple(&mut self.random, fan_out);
        if self.is_large() {
            let collectors = self.in_order(now).into_iter().take(LEADING);
            targets.extend(collectors.map(|(_, peer)| peer.address));
            targets.sort_unstable();
            targets.dedup();
        }
        let few_heard = self.seen_within(now, Duration::from_secs(2)) < 2;
        if few_heard || known.is_empty() {
            let unknown = self.seeds.iter().filter(|seed| !known.contains(seed));
            targets.extend(unknown.copied());
        }
        targets
    }

    /// Returns some known hosts, for a digest.
    pub fn sample_peers(&mut self) -> Vec<PeerAddress> {
        let peers = self.peers.iter().map(|(name, peer)| PeerAddress {
            name: name.clone(),
            address: peer.address,
        });
        peers.choose_multiple(&mut self.random, NAMED_PEERS)
    }

    /// Returns how many peers are known.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the addresses of all peers that were heard of lately, latest first.
    #[must_use]
    pub fn peers_by_recency(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<&PeerEntry> = self.peers.values().collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.heard));
        peers.iter().map(|peer| peer.address).collect()
    }

    /// Returns how many peers were heard of within a span.
    #[must_use]
    pub fn seen_within(&self, now: Timestamp, span: Duration) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| peer.is_heard(now, span)).count()
    }

    /// Returns whether digests go through collectors.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.peers.len() >= LARGE_FLEET
    }

    /// Returns whether this host collects for others.
    #[must_use]
    pub fn is_aggregator(&self, now: Timestamp) -> bool {
        self.is_large() && self.rank(now) < LEADING
    }

    /// Returns whether this host reads the store for all.
    #[must_use]
    pub fn is_store_reader(&self, now: Timestamp) -> bool {
        self.store_reader_rank(now) < READERS
    }

    /// Returns whether this host may take the duties.
    #[must_use]
    pub fn is_leader_candidate(&self, now: Timestamp) -> bool {
        self.rank(now) < LEADING
    }

    /// Returns the hash of the name of the collector that this host asks to serve it.
    ///
    /// `told_at` is when a collector told it something last. Answers collectors whose messages get
    /// lost on a full link while they count as present: only the host itself sees that.
    pub fn choose_aggregator(&mut self, now: Timestamp, told_at: Option<Timestamp>) -> Option<u64> {
        if !self.is_large() || self.is_aggregator(now) {
            return None;
        }
        let waits_since = told_at.unwrap_or_default().max(self.turned_at);
        if now.since(waits_since) >= ASK_SPAN {
            self.turns += 1;
            self.turned_at = now;
        }
        let leading: Vec<u64> = self
            .in_order(now)
            .into_iter()
            .take(LEADING)
            .map(|(name, _)| name_hash(name))
            .collect();
        let first = name_hash(&self.own_name).wrapping_add(self.turns);
        let index = first.checked_rem(leading.len() as u64)?;
        leading.get(index as usize).copied()
    }

    /// Returns the addresses that this host serves as a collector.
    ///
    /// Hosts choose whom they ask; those that ask nobody yet are shared out by their names.
    #[must_use]
    pub fn served_peers(&self, now: Timestamp) -> Vec<SocketAddr> {
        if !self.is_large() {
            return Vec::new();
        }
        let (own, rank) = (name_hash(&self.own_name), self.rank(now));
        let served = self.peers.iter().filter(|(name, peer)| {
            let asked = peer.asks.filter(|_| peer.is_heard(now, PRESENT_SPAN));
            let turn = name_hash(name) % LEADING as u64;
            asked.map_or(turn == rank as u64, |asked| asked == own)
        });
        served.map(|(_, peer)| peer.address).collect()
    }

    /// Notes whether the store answers this host.
    pub const fn set_store_reachable(&mut self, store_reachable: bool) {
        self.store_reachable = store_reachable;
    }

    /// Returns whether this host holds the duties.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Notes whether this host holds the duties.
    pub const fn set_leader(&mut self, is_leader: bool) {
        self.is_leader = is_leader;
    }

    /// Returns the present hosts that go first, this one included, in their order.
    ///
    /// Those that would go first by their names alone stand behind them, so that all learn of a
    /// leading host that the store no longer answers.
    #[must_use]
    pub fn candidates(&self, now: Timestamp, own: CandidateHost) -> Vec<CandidateHost> {
        let blind = self
            .present(now)
            .filter(|(_, peer)| !peer.store_reachable && !peer.is_leader);
        let mut leaders: Vec<CandidateHost> = self
            .in_order(now)
            .into_iter()
            .filter(|(_, peer)| peer.store_reachable || peer.is_leader)
            .take(LEADERS)
            .chain(blind.take(LEADING))
            .map(|(name, peer)| CandidateHost {
                host: PeerAddress {
                    name: name.clone(),
                    address: peer.address,
                },
                started_at_us: peer.start,
                last_seen_ms: now.since(peer.heard).as_millis() as u64,
                store_reachable: peer.store_reachable,
                is_leader: peer.is_leader,
            })
            .collect();
        leaders.push(own);
        leaders.sort_by(|a, b| {
            let standing =
                |leader: &CandidateHost| lead_standing(leader.is_leader, leader.store_reachable);
            let names = || a.host.name.cmp(&b.host.name);
            standing(a).cmp(&standing(b)).then_with(names)
        });
        leaders
    }

    /// Notes a host that a collector hears.
    ///
    /// It counts as heard when the collector heard it, so that two hosts that tell each other of a
    /// lost one do not keep it present.
    pub fn record_candidate(&mut self, now: Timestamp, leader: &CandidateHost) {
        self.add_peer(now, &leader.host);
        if let Some(peer) = self.peers.get_mut(&leader.host.name)
            && peer.start <= leader.started_at_us
        {
            let heard = now.before(Duration::from_millis(leader.last_seen_ms));
            peer.heard = if peer.start == 0 {
                heard
            } else {
                peer.heard.max(heard)
            };
            peer.start = leader.started_at_us;
            peer.store_reachable = leader.store_reachable;
            peer.is_leader = leader.is_leader;
        }
    }

    /// Returns the part of the known hosts, this one included, that were heard of lately.
    #[must_use]
    pub fn seen_share(&self, now: Timestamp) -> f64 {
        let heard = self.seen_within(now, PRESENT_SPAN);
        (heard + 1) as f64 / (self.peers.len() + 1) as f64
    }

    /// Returns how many present hosts go before this one.
    #[must_use]
    pub fn rank(&self, now: Timestamp) -> usize {
        let standing = lead_standing(self.is_leader, self.store_reachable);
        let own = (standing, &self.own_name);
        let earlier = self.present(now);
        let earlier = earlier.filter(|(name, peer)| (peer.standing(), *name) < own);
        earlier.count()
    }

    /// Returns how many present hosts that the store answers go before this one by name.
    #[must_use]
    pub fn store_reader_rank(&self, now: Timestamp) -> usize {
        let earlier = self.present(now);
        let readers = earlier.filter(|(name, peer)| **name < self.own_name && peer.store_reachable);
        readers.count()
    }

    /// Returns the peers that were heard of lately, in the order in which they lead.
    fn in_order(&self, now: Timestamp) -> Vec<(&String, &PeerEntry)> {
        let mut present: Vec<(&String, &PeerEntry)> = self.present(now).collect();
        present.sort_by_key(|(_, peer)| peer.standing());
        present
    }

    /// Returns the peers that were heard of lately, in the order of their names.
    fn present(&self, now: Timestamp) -> impl Iterator<Item = (&String, &PeerEntry)> {
        let peers = self.peers.iter();
        let span = if self.is_large() {
            TOLD_SPAN
        } else {
            PRESENT_SPAN
        };
        peers.filter(move |(_, peer)| peer.is_heard(now, span))
    }

    /// Forgets hosts that were silent for long and returns their names.
    ///
    /// A host that begins to collect hears from then on whom it can reach: until then silence told
    /// nothing. Answers a cut with all collectors behind it, where new ones had forgotten the hosts
    /// on the other side and used their part of the quotas.
    pub fn expire(&mut self, now: Timestamp) -> Vec<String> {
        self.collects_since = self
            .is_aggregator(now)
            .then(|| self.collects_since.unwrap_or(now));
        let (span, since) = match self.collects_since {
            Some(since) => (FORGET_AFTER, since),
            None if self.is_large() => (FORGET_UNHEARD, Timestamp::ZERO),
            None => (FORGET_AFTER, Timestamp::ZERO),
        };
        let is_gone = |peer: &PeerEntry| now.since(peer.heard.max(since)) >= span;
        let gone: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_gone(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.peers.remove(name);
        }
        gone
    }
}
