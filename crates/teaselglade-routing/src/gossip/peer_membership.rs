//! Membership of the fleet as one host sees it: peers, liveness and ranks.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg32;
use teaselglade_core::time::Timestamp;

use super::zone_order::{HostPlace, count_before, sort_by_turns};
use super::{CandidateHost, HostDigest, PeerAddress, name_hash};
use crate::limit::IssuerView;

/// Maximum number of peers that receive one round's digest, so that a round's cost is bounded.
const MAX_FAN_OUT: usize = 12;
/// Maximum number of peers that a digest names.
const MAX_SAMPLED_PEERS: usize = 8;
/// Time without a sign of life after which a peer is removed.
///
/// It exceeds every network partition in the deployments' specifications, so that the share of a
/// quota that a partitioned host may still spend stays reserved.
const PEER_TTL: Duration = Duration::from_secs(15);
/// [`PEER_TTL`] for hosts of a large fleet that are not aggregators.
///
/// They learn of most peers from an aggregator and get the digests of others only at random: in a
/// fleet of 86 hosts, that of a given peer arrives about every 8 s.
const AGGREGATED_PEER_TTL: Duration = Duration::from_mins(1);

/// Number of peers from which a fleet is large, so that digests go through aggregators.
const LARGE_FLEET_PEERS: usize = 20;
/// Number of present hosts, highest-ranked first, that are candidates.
///
/// The leader ranks first, because a change of leader costs the term of a lease. Hosts that
/// can reach the store follow, because the leader duties need it. Among the rest, data centres take
/// turns, so that the loss of one takes few candidates; names decide within each.
/// In a large fleet the candidates are the aggregators, each for its share of the other hosts. The
/// leader is one of them, because it needs the digests that an aggregator receives. With three
/// candidates, two may be lost at once.
const CANDIDATE_HOSTS: usize = 3;
/// Number of hosts that read the store for the fleet; the second one is the standby.
const STORE_READERS: usize = 2;
/// Number of hosts of a large fleet that follow the table in the store.
///
/// The others learn of a new version from digests within a second. Fewer than
/// [`ADVERTISED_HOSTS`], so that every host knows that enough others come before it.
const TABLE_FOLLOWERS: usize = 5;
/// Time without an aggregate digest after which a host requests another aggregator.
///
/// It lies between one and two aggregator intervals of 400 ms; the switch takes one more interval.
const AGGREGATOR_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of random peers that receive a digest in a large fleet, in case all aggregators fail.
const LARGE_FLEET_FAN_OUT: usize = 2;
/// Number of highest-ranked peers in an aggregate digest: twice the aggregators, as some are lost.
const ADVERTISED_HOSTS: usize = 6;
/// Time without a sign of life after which a host is not present; five lost digests in a row.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// [`PRESENCE_TIMEOUT`] in a large fleet, where most hosts see candidates through an aggregator.
///
/// It covers three aggregator intervals of 400 ms, the 200 ms until the aggregator itself receives
/// a digest, and a margin.
const LARGE_FLEET_PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Age from which registration data is too old to rely on peers for it.
///
/// It exceeds the age that the data of a host has while a reader and the digests work: a read each
/// 300 ms, a digest each 200 ms and the time until both arrive.
const NEWS_TIMEOUT: Duration = Duration::from_millis(900);
/// [`NEWS_TIMEOUT`] in a large fleet, where aggregators forward the data.
///
/// They add an interval of 400 ms and up to 320 ms until the last host is served.
const LARGE_FLEET_NEWS_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Sort key of a host's rank before its place: the leader first, then hosts that reach the store.
type RankKey = (bool, bool);

const fn rank_key(is_leader: bool, store_reachable: bool) -> RankKey {
    (!is_leader, !store_reachable)
}

#[derive(Debug, Clone)]
struct PeerEntry {
    address: SocketAddr,
    /// Data centre; empty until a digest gives it.
    zone: String,
    /// Start time in Unix microseconds; 0 until a host digest or an aggregate digest gives it.
    started_at_us: u64,
    sequence: u64,
    last_seen: Timestamp,
    /// Whether the host could reach the store when it was last seen.
    store_reachable: bool,
    is_leader: bool,
    /// Name hash of the aggregator that the host requests.
    requested_aggregator: Option<u64>,
}

impl PeerEntry {
    /// Returns the sort key by which hosts are ranked before their places.
    const fn rank_key(&self) -> RankKey {
        rank_key(self.is_leader, self.store_reachable)
    }

    fn is_seen_within(&self, now: Timestamp, window: Duration) -> bool {
        self.started_at_us > 0 && now.since(self.last_seen) < window
    }
}

fn place_of<'a>((name, peer): &(&'a String, &'a PeerEntry)) -> HostPlace<'a> {
    HostPlace {
        zone: &peer.zone,
        name,
    }
}

/// Peers of this host, known from seed addresses, the store and digests.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::gossip::PeerMembership;
///
/// let mut membership = PeerMembership::new("edge-1", 7);
/// membership.add_seeds(["127.0.0.1:7600".parse()?]);
/// assert_eq!(membership.gossip_targets(Timestamp::ZERO).len(), 1);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct PeerMembership {
    own_name: String,
    own_zone: String,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<String, PeerEntry>,
    /// Number of times that this host switched to another aggregator.
    aggregator_switches: u64,
    /// Time of the last switch.
    switched_at: Timestamp,
    /// Whether this host can reach the store.
    store_reachable: bool,
    /// Whether this host is the leader.
    is_leader: bool,
    /// Time at which this host became an aggregator, which receives the digests of all hosts.
    aggregator_since: Option<Timestamp>,
    random: Pcg32,
}

impl PeerMembership {
    /// Creates a membership without peers; `seed` seeds the random choice of peers.
    #[must_use]
    pub fn new(own_name: impl Into<String>, seed: u64) -> Self {
        Self {
            own_name: own_name.into(),
            own_zone: String::new(),
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            aggregator_switches: 0,
            switched_at: Timestamp::ZERO,
            store_reachable: true,
            is_leader: false,
            aggregator_since: None,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Sets the data centre of this host.
    #[must_use]
    pub fn in_zone(mut self, zone: impl Into<String>) -> Self {
        self.own_zone = zone.into();
        self
    }

    /// Adds seed addresses, at which hosts may be found.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Adds a peer that the store or another host names; known peers stay unchanged.
    pub fn add_peer(&mut self, now: Timestamp, peer: &PeerAddress) {
        if peer.name == self.own_name {
            return;
        }
        let entry = PeerEntry {
            address: peer.address,
            zone: String::new(),
            started_at_us: 0,
            sequence: 0,
            last_seen: now,
            store_reachable: false,
            is_leader: false,
            requested_aggregator: None,
        };
        self.peers.entry(peer.name.clone()).or_insert(entry);
    }

    /// Records a peer's digest and returns whether it is newer than all earlier ones.
    pub fn record_digest(&mut self, now: Timestamp, digest: &HostDigest) -> bool {
        let (peer, started_at_us, sequence) = (&digest.host, digest.started_at_us, digest.sequence);
        if peer.name == self.own_name {
            return false;
        }
        let known = self.peers.get(&peer.name);
        if known
            .is_some_and(|known| (known.started_at_us, known.sequence) >= (started_at_us, sequence))
        {
            return false;
        }
        let entry = PeerEntry {
            address: peer.address,
            zone: digest.zone.clone(),
            started_at_us,
            sequence,
            last_seen: now,
            store_reachable: digest.store_reachable,
            is_leader: digest.is_leader,
            requested_aggregator: digest.requested_aggregator,
        };
        self.peers.insert(peer.name.clone(), entry);
        true
    }

    /// Returns the addresses that receive this round's digest.
    pub fn gossip_targets(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = self.peers.values().map(|peer| peer.address).collect();
        let fan_out = if self.is_large() {
            LARGE_FLEET_FAN_OUT
        } else {
            MAX_FAN_OUT
        };
        let mut targets = known
            .iter()
            .copied()
            .choose_multiple(&mut self.random, fan_out);
        if self.is_large() {
            let aggregators = self.ranked_peers(now).into_iter().take(CANDIDATE_HOSTS);
            targets.extend(aggregators.map(|(_, peer)| peer.address));
            targets.sort_unstable();
            targets.dedup();
        }
        let few_seen = self.seen_within(now, Duration::from_secs(2)) < 2;
        if few_seen || known.is_empty() {
            let unknown = self.seeds.iter().filter(|seed| !known.contains(seed));
            targets.extend(unknown.copied());
        }
        targets
    }

    /// Returns a random sample of the known peers, for a digest.
    pub fn sample_peers(&mut self) -> Vec<PeerAddress> {
        let peers = self.peers.iter().map(|(name, peer)| PeerAddress {
            name: name.clone(),
            address: peer.address,
        });
        peers.choose_multiple(&mut self.random, MAX_SAMPLED_PEERS)
    }

    /// Returns up to `max_count` addresses at which a host that starts may find peers.
    ///
    /// They are a random sample of the known peers and the seeds.
    pub fn first_contacts(&mut self, max_count: usize) -> Vec<SocketAddr> {
        let known = self.peers.values().map(|peer| peer.address);
        let mut contacts: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        contacts.sort_unstable();
        contacts.dedup();
        contacts
            .into_iter()
            .choose_multiple(&mut self.random, max_count)
    }

    /// Returns the number of known peers.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the names of all known peers, in their order.
    pub fn peer_names(&self) -> impl Iterator<Item = &str> {
        self.peers.keys().map(String::as_str)
    }

    /// Returns the addresses of all known peers, the last seen first.
    #[must_use]
    pub fn peers_by_recency(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<&PeerEntry> = self.peers.values().collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.last_seen));
        peers.iter().map(|peer| peer.address).collect()
    }

    /// Returns the number of peers that were seen within the last `window`.
    #[must_use]
    pub fn seen_within(&self, now: Timestamp, window: Duration) -> usize {
        let peers = self.peers.values();
        peers
            .filter(|peer| peer.is_seen_within(now, window))
            .count()
    }

    /// Returns whether the fleet is large, so that digests go through aggregators.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.peers.len() >= LARGE_FLEET_PEERS
    }

    /// Returns whether registration data of this age is too old to rely on peers for it.
    #[must_use]
    pub fn is_stale(&self, age: Duration) -> bool {
        age >= self.news_timeout()
    }

    /// Returns the age from which registration data is too old to rely on peers for it.
    #[must_use]
    pub fn news_timeout(&self) -> Duration {
        if self.is_large() {
            LARGE_FLEET_NEWS_TIMEOUT
        } else {
            NEWS_TIMEOUT
        }
    }

    /// Returns whether this host is an aggregator.
    #[must_use]
    pub fn is_aggregator(&self, now: Timestamp) -> bool {
        self.is_large() && self.rank(now) < CANDIDATE_HOSTS
    }

    /// Returns whether this host reads the store for the fleet.
    #[must_use]
    pub fn is_store_reader(&self, now: Timestamp) -> bool {
        self.store_reader_rank(now) < STORE_READERS
    }

    /// Returns whether this host follows the table in the store.
    #[must_use]
    pub fn is_table_follower(&self, now: Timestamp) -> bool {
        !self.is_large() || self.store_reader_rank(now) < TABLE_FOLLOWERS
    }

    /// Returns whether this host may become the leader.
    #[must_use]
    pub fn is_leader_candidate(&self, now: Timestamp) -> bool {
        self.rank(now) < CANDIDATE_HOSTS
    }

    /// Returns the name hash of the aggregator that this host requests.
    ///
    /// `last_update` is the time of the last aggregate digest. An aggregator may look present while
    /// its messages to this host are lost on a full link. Only this host can detect that, so it
    /// switches to another aggregator when no aggregate digest arrives in time.
    pub fn choose_aggregator(
        &mut self,
        now: Timestamp,
        last_update: Option<Timestamp>,
    ) -> Option<u64> {
        if !self.is_large() || self.is_aggregator(now) {
            return None;
        }
        let waiting_since = last_update.unwrap_or_default().max(self.switched_at);
        if now.since(waiting_since) >= AGGREGATOR_TIMEOUT {
            self.aggregator_switches += 1;
            self.switched_at = now;
        }
        let aggregators: Vec<u64> = self
            .ranked_peers(now)
            .into_iter()
            .take(CANDIDATE_HOSTS)
            .map(|(name, _)| name_hash(name))
            .collect();
        let offset = name_hash(&self.own_name).wrapping_add(self.aggregator_switches);
        let index = offset.checked_rem(aggregators.len() as u64)?;
        aggregators.get(index as usize).copied()
    }

    /// Returns the addresses of the peers to which this host sends aggregate digests.
    ///
    /// Peers request an aggregator in their digests; the others are divided among the aggregators
    /// by the hashes of their names.
    #[must_use]
    pub fn served_peers(&self, now: Timestamp) -> Vec<SocketAddr> {
        if !self.is_large() {
            return Vec::new();
        }
        let (own, rank) = (name_hash(&self.own_name), self.rank(now));
        let served = self.peers.iter().filter(|(name, peer)| {
            let requested = peer
                .requested_aggregator
                .filter(|_| peer.is_seen_within(now, PRESENCE_TIMEOUT));
            let default_rank = name_hash(name) % CANDIDATE_HOSTS as u64;
            requested.map_or(default_rank == rank as u64, |requested| requested == own)
        });
        served.map(|(_, peer)| peer.address).collect()
    }

    /// Returns the host that issues permits for a server, among the first hosts of the fleet.
    ///
    /// Hosts that agree on the first hosts agree on the issuer. `None` stands for this host.
    #[must_use]
    pub fn permit_issuer(&self, now: Timestamp, server: u64) -> Option<SocketAddr> {
        let weight = |name: &str| name_hash(name).rotate_left(17) ^ server;
        let weight = |name: &str| weight(name).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let first = self.first_hosts(now).into_iter();
        let chosen = first.max_by_key(|(place, _)| weight(place.name));
        chosen.and_then(|(_, address)| address)
    }

    /// Returns the candidates in rank order, this host among them without an address.
    ///
    /// The order of turns depends on every host in it, so this one must be sorted with the others.
    fn first_hosts(&self, now: Timestamp) -> Vec<(HostPlace<'_>, Option<SocketAddr>)> {
        let mut classes: BTreeMap<RankKey, Vec<(HostPlace<'_>, Option<SocketAddr>)>> =
            BTreeMap::new();
        let own_key = rank_key(self.is_leader, self.store_reachable);
        classes
            .entry(own_key)
            .or_default()
            .push((self.own_place(), None));
        for (name, peer) in self.present_peers(now) {
            let class = classes.entry(peer.rank_key()).or_default();
            class.push((place_of(&(name, peer)), Some(peer.address)));
        }
        let classes = classes.into_values();
        let ranked = classes.flat_map(|class| sort_by_turns(class, |(place, _)| *place));
        ranked.take(CANDIDATE_HOSTS).collect()
    }

    /// Returns how this host stands as an issuer of permits.
    #[must_use]
    pub fn issuer_view(&self, now: Timestamp) -> IssuerView {
        IssuerView {
            may_issue: self.rank(now) < CANDIDATE_HOSTS,
            seen_share: self.seen_share(now),
        }
    }

    /// Sets whether this host can reach the store.
    pub const fn set_store_reachable(&mut self, store_reachable: bool) {
        self.store_reachable = store_reachable;
    }

    /// Returns whether this host is the leader.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Sets whether this host is the leader.
    pub const fn set_leader(&mut self, is_leader: bool) {
        self.is_leader = is_leader;
    }

    /// Returns the highest-ranked present hosts in rank order, including this one.
    ///
    /// Hosts that would be candidates by their places alone but do not reach the store are included
    /// at the end, so that the whole fleet learns that they lost the store.
    #[must_use]
    pub fn candidates(&self, now: Timestamp, own: CandidateHost) -> Vec<CandidateHost> {
        let without_store = self
            .present_peers(now)
            .filter(|(_, peer)| !peer.store_reachable && !peer.is_leader);
        let without_store = sort_by_turns(without_store.collect(), place_of);
        let mut candidates: Vec<CandidateHost> = self
            .ranked_peers(now)
            .into_iter()
            .filter(|(_, peer)| peer.store_reachable || peer.is_leader)
            .take(ADVERTISED_HOSTS)
            .chain(without_store.into_iter().take(CANDIDATE_HOSTS))
            .map(|(name, peer)| CandidateHost {
                host: PeerAddress {
                    name: name.clone(),
                    address: peer.address,
                },
                started_at_us: peer.started_at_us,
                last_seen_ms: now.since(peer.last_seen).as_millis() as u64,
                store_reachable: peer.store_reachable,
                is_leader: peer.is_leader,
                zone: peer.zone.clone(),
            })
            .collect();
        let own_key = rank_key(own.is_leader, own.store_reachable);
        let (mut index, mut equal) = (0, Vec::new());
        for candidate in &candidates {
            match rank_key(candidate.is_leader, candidate.store_reachable).cmp(&own_key) {
                Ordering::Less => index += 1,
                Ordering::Equal => equal.push(HostPlace {
                    zone: &candidate.zone,
                    name: &candidate.host.name,
                }),
                Ordering::Greater => {}
            }
        }
        index += count_before(self.own_place(), equal.into_iter());
        candidates.insert(index, own);
        candidates
    }

    /// Records a candidate that an aggregate digest names.
    ///
    /// The candidate counts as seen when the aggregator saw it. Otherwise two hosts that name a
    /// lost one to each other would keep it present.
    pub fn record_candidate(&mut self, now: Timestamp, candidate: &CandidateHost) {
        self.add_peer(now, &candidate.host);
        if let Some(peer) = self.peers.get_mut(&candidate.host.name)
            && peer.started_at_us <= candidate.started_at_us
        {
            let last_seen = now.before(Duration::from_millis(candidate.last_seen_ms));
            peer.last_seen = if peer.started_at_us == 0 {
                last_seen
            } else {
                peer.last_seen.max(last_seen)
            };
            peer.started_at_us = candidate.started_at_us;
            peer.zone.clone_from(&candidate.zone);
            peer.store_reachable = candidate.store_reachable;
            peer.is_leader = candidate.is_leader;
        }
    }

    /// Returns the fraction of the known hosts, this one included, that were seen recently.
    #[must_use]
    pub fn seen_share(&self, now: Timestamp) -> f64 {
        let seen = self.seen_within(now, PRESENCE_TIMEOUT);
        (seen + 1) as f64 / (self.peers.len() + 1) as f64
    }

    /// Returns the number of present peers that rank before this host.
    #[must_use]
    pub fn rank(&self, now: Timestamp) -> usize {
        let own_key = rank_key(self.is_leader, self.store_reachable);
        let preferred = self
            .present_peers(now)
            .filter(|(_, peer)| peer.rank_key() < own_key);
        let equal = self
            .present_peers(now)
            .filter(|(_, peer)| peer.rank_key() == own_key);
        preferred.count() + count_before(self.own_place(), equal.map(|peer| place_of(&peer)))
    }

    /// Returns how many present peers that can reach the store come before this host.
    ///
    /// Data centres take turns in this order, so that the loss of one leaves other readers.
    #[must_use]
    pub fn store_reader_rank(&self, now: Timestamp) -> usize {
        let readers = self
            .present_peers(now)
            .filter(|(_, peer)| peer.store_reachable);
        count_before(self.own_place(), readers.map(|peer| place_of(&peer)))
    }

    fn own_place(&self) -> HostPlace<'_> {
        HostPlace {
            zone: &self.own_zone,
            name: &self.own_name,
        }
    }

    /// Returns the present peers in rank order.
    fn ranked_peers(&self, now: Timestamp) -> Vec<(&String, &PeerEntry)> {
        let mut classes: BTreeMap<RankKey, Vec<(&String, &PeerEntry)>> = BTreeMap::new();
        for (name, peer) in self.present_peers(now) {
            let class = classes.entry(peer.rank_key()).or_default();
            class.push((name, peer));
        }
        let classes = classes.into_values();
        classes
            .flat_map(|class| sort_by_turns(class, place_of))
            .collect()
    }

    /// Returns the peers that were seen recently, ordered by name.
    fn present_peers(&self, now: Timestamp) -> impl Iterator<Item = (&String, &PeerEntry)> {
        let peers = self.peers.iter();
        let timeout = if self.is_large() {
            LARGE_FLEET_PRESENCE_TIMEOUT
        } else {
            PRESENCE_TIMEOUT
        };
        peers.filter(move |(_, peer)| peer.is_seen_within(now, timeout))
    }

    /// Removes peers whose TTL has passed and returns their names.
    ///
    /// A new aggregator counts silence only from the time at which it became one, because before
    /// that it did not receive digests from most peers. In a partition with all aggregators on the
    /// other side, new aggregators once removed those hosts at once and spent their share of the
    /// quotas.
    pub fn expire(&mut self, now: Timestamp) -> Vec<String> {
        self.aggregator_since = self
            .is_aggregator(now)
            .then(|| self.aggregator_since.unwrap_or(now));
        let (ttl, since) = match self.aggregator_since {
            Some(since) => (PEER_TTL, since),
            None if self.is_large() => (AGGREGATED_PEER_TTL, Timestamp::ZERO),
            None => (PEER_TTL, Timestamp::ZERO),
        };
        let is_expired = |peer: &PeerEntry| now.since(peer.last_seen.max(since)) >= ttl;
        let expired: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_expired(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.peers.remove(name);
        }
        expired
    }
}
