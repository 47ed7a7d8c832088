//! Known loads of all engines.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::EngineLoad;
use super::load_turns::{LoadTurns, ToldLoads};
use crate::registry::ServerRegistry;

/// Age from which loads from peers and aggregators are ignored.
const LOAD_TTL: Duration = Duration::from_millis(1_500);
/// Age from which a load that an aggregator tells in turn is ignored.
///
/// All of four thousand engines have their turn in this time, an engine that became idle is told
/// as such at once.
const TURN_TTL: Duration = Duration::from_secs(8);

/// Load on one engine, from one host or from several together.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadSum {
    /// Prompt tokens that wait for prefill.
    pub(super) waiting_tokens: f64,
    /// Running and waiting requests.
    pub(super) requests: f64,
    /// Tokens that these requests hold in the engine's cache memory.
    pub(super) memory_tokens: f64,
}

/// Load that this host has on one engine.
#[derive(Debug, Clone, Copy, Default)]
struct OwnLoad {
    waiting_tokens: f64,
    requests: u32,
    memory_tokens: f64,
}

#[derive(Debug, Clone)]
struct PeerLoads {
    received_at: Timestamp,
    loads: HashMap<u64, EngineLoad>,
}

/// Loads of all engines: this host's own, and those of other hosts as far as they are known.
#[derive(Debug, Default)]
pub(super) struct EngineLoads {
    own: HashMap<ServerKey, OwnLoad>,
    peers: HashMap<String, PeerLoads>,
    others: HashMap<u64, LoadSum>,
    /// Time at which the last aggregate of all hosts' loads was received.
    aggregate_at: Option<Timestamp>,
    /// Times at which loads were received that an aggregator tells in turn.
    told_at: HashMap<u64, Timestamp>,
    /// Time of the last of them.
    turn_at: Option<Timestamp>,
    /// What this host tells if it is an aggregator.
    turns: LoadTurns,
}

impl EngineLoads {
    /// Adds a request of this host to an engine.
    pub(super) fn add_request(
        &mut self,
        server: ServerKey,
        waiting_tokens: f64,
        memory_tokens: f64,
    ) {
        let load = self.own.entry(server).or_default();
        load.waiting_tokens += waiting_tokens;
        load.memory_tokens += memory_tokens;
        load.requests += 1;
    }

    /// Records that an engine prefilled the prompt of one of this host's requests.
    pub(super) fn end_prefill(&mut self, server: ServerKey, tokens: f64) {
        if let Some(load) = self.own.get_mut(&server) {
            load.waiting_tokens = (load.waiting_tokens - tokens).max(0.0);
        }
    }

    /// Removes a request of this host from an engine.
    pub(super) fn remove_request(
        &mut self,
        server: ServerKey,
        waiting_tokens: f64,
        memory_tokens: f64,
    ) {
        let Some(load) = self.own.get_mut(&server) else {
            return;
        };
        load.waiting_tokens = (load.waiting_tokens - waiting_tokens).max(0.0);
        load.memory_tokens = (load.memory_tokens - memory_tokens).max(0.0);
        load.requests = load.requests.saturating_sub(1);
        if load.requests == 0 {
            self.own.remove(&server);
        }
    }

    /// Replaces a peer's loads.
    pub(super) fn merge_peer(&mut self, now: Timestamp, peer: &str, loads: &[EngineLoad]) {
        let peer_loads = PeerLoads {
            received_at: now,
            loads: loads.iter().map(|load| (load.server, *load)).collect(),
        };
        self.peers.insert(peer.to_owned(), peer_loads);
        self.sum_peers(now);
    }

    /// Replaces the loads of other hosts by an aggregate, less this host's own loads.
    pub(super) fn apply_aggregate(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        loads: &[EngineLoad],
    ) {
        self.aggregate_at = Some(now);
        let is_told_in_turn = self.turn_at.is_some_and(|at| now.since(at) < LOAD_TTL);
        if loads.is_empty() && is_told_in_turn {
            let told_at = &self.told_at;
            self.others.retain(|server, _| {
                let told_at = told_at.get(server);
                told_at.is_some_and(|at| now.since(*at) < TURN_TTL)
            });
            return;
        }
        self.others.clear();
        self.told_at.clear();
        self.set_others(registry, loads);
    }

    /// Replaces the loads of other hosts on some engines, like [`EngineLoads::apply_aggregate`].
    pub(super) fn apply_turn(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        loads: &[EngineLoad],
    ) {
        self.turn_at = Some(now);
        self.told_at.retain(|_, at| now.since(*at) < TURN_TTL);
        self.told_at
            .extend(loads.iter().map(|load| (load.server, now)));
        self.set_others(registry, loads);
    }

    /// Returns what the next aggregate tells of the loads of all hosts together.
    pub(super) fn tell(&mut self, registry: &ServerRegistry) -> ToldLoads {
        let loads = self.total(registry);
        self.turns.choose(loads)
    }

    fn set_others(&mut self, registry: &ServerRegistry, loads: &[EngineLoad]) {
        for load in loads {
            let own = registry
                .find_by_hash(load.server)
                .and_then(|key| self.own.get(&key));
            let own = own.copied().unwrap_or_default();
            let other = LoadSum {
                waiting_tokens: (f64::from(load.waiting_tokens) - own.waiting_tokens).max(0.0),
                requests: (f64::from(load.requests) - f64::from(own.requests)).max(0.0),
                memory_tokens: (f64::from(load.memory_tokens) - own.memory_tokens).max(0.0),
            };
            self.others.insert(load.server, other);
        }
    }

    /// Stops using the last aggregate.
    pub(super) const fn stop_applying_aggregate(&mut self) {
        self.aggregate_at = None;
    }

    /// Returns the load of all hosts together on one engine.
    pub(super) fn of_engine(&self, server: ServerKey, hash: u64) -> LoadSum {
        let own = self.own.get(&server).copied().unwrap_or_default();
        let others = self.others.get(&hash).copied().unwrap_or_default();
        LoadSum {
            waiting_tokens: own.waiting_tokens + others.waiting_tokens,
            requests: f64::from(own.requests) + others.requests,
            memory_tokens: own.memory_tokens + others.memory_tokens,
        }
    }

    /// Returns the number of requests that this host has open on an engine.
    pub(super) fn own_requests(&self, server: ServerKey) -> u32 {
        self.own.get(&server).map_or(0, |load| load.requests)
    }

    /// Returns the loads of all hosts together by engine.
    pub(super) fn total(&self, registry: &ServerRegistry) -> Vec<EngineLoad> {
        let mut sums = self.others.clone();
        for own in self.own(registry) {
            let sum = sums.entry(own.server).or_default();
            sum.waiting_tokens += f64::from(own.waiting_tokens);
            sum.requests += f64::from(own.requests);
            sum.memory_tokens += f64::from(own.memory_tokens);
        }
        let loads = sums.into_iter().map(|(server, sum)| EngineLoad {
            server,
            waiting_tokens: sum.waiting_tokens as u32,
            requests: sum.requests.min(f64::from(u16::MAX)) as u16,
            memory_tokens: sum.memory_tokens as u32,
        });
        loads.collect()
    }

    /// Returns this host's loads by engine.
    pub(super) fn own(&self, registry: &ServerRegistry) -> Vec<EngineLoad> {
        let loads = self.own.iter().map(|(server, load)| EngineLoad {
            server: registry.server(*server).hash,
            waiting_tokens: load.waiting_tokens as u32,
            requests: load.requests.min(u32::from(u16::MAX)) as u16,
            memory_tokens: load.memory_tokens as u32,
        });
        loads.collect()
    }

    /// Removes expired loads of peers.
    pub(super) fn prune(&mut self, now: Timestamp) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < LOAD_TTL);
        self.sum_peers(now);
    }

    /// Returns the age of the last aggregate, or of the oldest loads of peers that are used.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        if self.has_fresh_aggregate(now) {
            return self.aggregate_at.map(|at| now.since(at));
        }
        let ages = self.peers.values().map(|peer| now.since(peer.received_at));
        ages.filter(|age| *age < LOAD_TTL).max()
    }

    fn has_fresh_aggregate(&self, now: Timestamp) -> bool {
        self.aggregate_at.is_some_and(|at| now.since(at) < LOAD_TTL)
    }

    fn sum_peers(&mut self, now: Timestamp) {
        if self.has_fresh_aggregate(now) {
            return;
        }
        self.others.clear();
        let fresh_peers = self
            .peers
            .values()
            .filter(|peer| now.since(peer.received_at) < LOAD_TTL);
        for load in fresh_peers.flat_map(|peer| peer.loads.values()) {
            let sum = self.others.entry(load.server).or_default();
            sum.waiting_tokens += f64::from(load.waiting_tokens);
            sum.requests += f64::from(load.requests);
            sum.memory_tokens += f64::from(load.memory_tokens);
        }
    }
}
