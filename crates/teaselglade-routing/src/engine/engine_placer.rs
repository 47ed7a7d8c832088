//! Chooses the engine that a stream goes to, or turns the stream away.

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_placement::limit::DemandMeter;

use super::candidate::{Candidate, preference};
use super::{CachedPart, EngineLoad, EngineSpeed, PrefixLocations, PromptShape, Result};
use crate::registry::{ServerHealth, ServerRegistry};
use crate::table::EngineSpec;

/// Part of the target within which the first event has to be predicted.
///
/// The rest covers what peers send to the same engine before this host hears of it.
const TARGET_SHARE: f64 = 0.9;
/// Part of the target up to which others' work may delay a prompt that is late by its own size.
const WAIT_SHARE: f64 = 0.4;
/// How many engines, in the order of a prompt's hash, are looked at where load is known late; the
/// next of these widths where none of those before is on time.
///
/// Of widths tried in the test of the pattern these leave most on time; that few choices spread
/// load which is known late is M. Mitzenmacher, "How useful is old information?", 2000.
const LATE_NEWS_WIDTHS: [usize; 3] = [1, 2, 8];
/// Weight of the engine time that a placement takes from later requests, beside its own delay.
const WORK_WEIGHT: f64 = 1.0;
/// Delay for each request beyond the slots of an engine; about a slot's turn at full load.
const SLOT_WAIT: Duration = Duration::from_millis(25);
/// Delay where an engine's memory is full: others have to end first.
const MEMORY_WAIT: Duration = Duration::from_millis(400);
/// Part of an engine's memory that running requests may fill before prompts wait.
const MEMORY_SHARE: f64 = 0.9;
/// Age from which what a peer has at the engines is no longer reckoned with.
const LOAD_SPAN: Duration = Duration::from_millis(1_500);
/// Time for which placements are passed on; a few intervals of the exchange, as news gets lost.
const PLACED_SPAN: Duration = Duration::from_millis(700);
/// Most parts of prompts that one digest of the fleet names; about 4 KB.
const MAX_TOLD_PARTS: usize = 200;
/// Shortest time to come back that a refusal names.
const MIN_RETRY: Duration = Duration::from_millis(150);
/// Longest time to come back that a refusal names.
const MAX_RETRY: Duration = Duration::from_secs(2);

/// Number of a placed stream at its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(u64);

/// The question where a stream goes.
#[derive(Debug, Clone)]
pub struct EngineQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// What the engines are like.
    pub spec: &'a EngineSpec,
    /// Size and parts of the prompt.
    pub prompt: &'a PromptShape,
    /// Time from now to the first event within which the answer is on time.
    pub target: Duration,
    /// Time from now until the caller no longer waits.
    pub caller_timeout: Duration,
    /// Servers that were tried.
    pub tried: &'a [ServerKey],
    /// Whether the stream was begun before, so that it must not be turned away.
    pub is_continued: bool,
    /// Whether the fleet is so large that all hosts hear the same news of load, and late.
    pub is_load_stale: bool,
}

/// Where a stream goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineReservation {
    /// Number to name in later calls.
    pub id: ReservationId,
    /// Engine.
    pub server: ServerKey,
    /// Predicted time to the first event.
    pub predicted_latency: Duration,
    /// Prompt tokens that the engine has to read.
    pub new_tokens: u32,
    /// Prompt tokens that wait before them, of all hosts.
    pub tokens_ahead: f64,
}

#[derive(Debug, Clone, Copy)]
struct OpenStream {
    server: ServerKey,
    sent: Timestamp,
    waiting_tokens: f64,
    memory_tokens: f64,
    tokens_ahead: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct OwnLoad {
    waiting_tokens: f64,
    requests: u32,
    memory_tokens: f64,
}

#[derive(Debug, Clone)]
struct PeerLoads {
    heard: Timestamp,
    loads: HashMap<u64, EngineLoad>,
}

/// Sum of what all peers have at one engine.
#[derive(Debug, Clone, Copy, Default)]
struct OtherLoad {
    waiting_tokens: f64,
    requests: f64,
    memory_tokens: f64,
}

/// Chooses the engine that a stream goes to, or turns the stream away.
///
/// An engine's cost is the predicted time to the first event plus the engine time that the
/// placement takes from later requests; so a prompt goes where its shared parts are, until the
/// queue there costs more than reading them again elsewhere. Where no engine has the parts, all
/// hosts rank engines alike by the parts' hash, so that the next prompt with the same parts finds
/// them. A stream is turned away at once where others' work would make it late; one that is late
/// by its own size runs where the wait is short. Answers load above what the engines can read.
/// In a large fleet each prompt looks at a few engines first, so that hosts with the same old news
/// do not all send to the engine that was empty then.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::engine::{EnginePlacer, EngineQuery, PromptShape};
/// use teaselglade_routing::registry::ServerRegistry;
/// use teaselglade_routing::table::EngineSpec;
///
/// let mut placer = EnginePlacer::new(1);
/// let prompt = PromptShape::new(900, 80, [(1, 900)]);
/// let spec = EngineSpec { slots: 64, memory_tokens: 500_000.0, event_tokens: 4 };
/// let query = EngineQuery {
///     service: "draft-fleet",
///     spec: &spec,
///     prompt: &prompt,
///     target: Duration::from_millis(500),
///     caller_timeout: Duration::from_secs(10),
///     tried: &[],
///     is_continued: false,
///     is_load_stale: false,
/// };
/// let refusal = placer.place(Timestamp::ZERO, &ServerRegistry::default(), &query).unwrap_err();
/// assert!(refusal.retry_after.is_some());
/// ```
#[derive(Debug)]
pub struct EnginePlacer {
    cache: PrefixLocations,
    speeds: HashMap<String, EngineSpeed>,
    open: HashMap<ReservationId, OpenStream>,
    own: HashMap<ServerKey, OwnLoad>,
    health: HashMap<ServerKey, ServerHealth>,
    peers: HashMap<String, PeerLoads>,
    others: HashMap<u64, OtherLoad>,
    /// When a collecting host told the load of all hosts together.
    followed_at: Option<Timestamp>,
    placed: Vec<(Timestamp, CachedPart)>,
    /// Prompt tokens that have to be read, by service, refused ones included.
    demand: HashMap<String, DemandMeter>,
    last_id: u64,
    random: Pcg32,
}

impl EnginePlacer {
    /// Makes a placer without load; `seed` feeds the spread of return times.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            cache: PrefixLocations::default(),
            speeds: HashMap::new(),
            open: HashMap::new(),
            own: HashMap::new(),
            health: HashMap::new(),
            peers: HashMap::new(),
            others: HashMap::new(),
            followed_at: None,
            placed: Vec::new(),
            demand: HashMap::new(),
            last_id: 0,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Chooses an engine and books the stream there.
    ///
    /// # Errors
    ///
    /// Refuses as "not run" where no engine takes work, or where the answer would be late for the
    /// load there is.
    pub fn place(
        &mut self,
        now: Timestamp,
        fleet: &ServerRegistry,
        query: &EngineQuery<'_>,
    ) -> Result<EngineReservation> {
        let best = self.best_candidate(now, fleet, query);
        let read = best.map_or(query.prompt.prompt_tokens, |best| best.new_tokens);
        let meter = self.demand.entry(query.service.to_owned()).or_default();
        meter.add(now, f64::from(read));
        let best = best.ok_or_else(|| self.no_server())?;
        if !query.is_continued {
            self.check_admission(query, best)?;
        }
        Ok(self.book(now, fleet, query, best))
    }

    /// Notes the first event of a stream.
    pub fn record_first_event(&mut self, now: Timestamp, service: &str, id: ReservationId) {
        let Some(stream) = self.open.get_mut(&id) else {
            return;
        };
        let tokens = stream.waiting_tokens;
        stream.waiting_tokens = 0.0;
        let ahead = stream.tokens_ahead;
        let (server, elapsed) = (stream.server, now.since(stream.sent));
        if let Some(load) = self.own.get_mut(&server) {
            load.waiting_tokens = (load.waiting_tokens - tokens).max(0.0);
        }
        let speed = self.speeds.entry(service.to_owned()).or_default();
        speed.observe(tokens + ahead, elapsed);
        self.health.entry(server).or_default().record_answer(true);
    }

    /// Notes that a stream is over at its engine, in whatever way.
    pub fn record_end(&mut self, id: ReservationId) {
        let Some(stream) = self.open.remove(&id) else {
            return;
        };
        let Some(load) = self.own.get_mut(&stream.server) else {
            return;
        };
        load.waiting_tokens = (load.waiting_tokens - stream.waiting_tokens).max(0.0);
        load.memory_tokens = (load.memory_tokens - stream.memory_tokens).max(0.0);
        load.requests = load.requests.saturating_sub(1);
        if load.requests == 0 {
            self.own.remove(&stream.server);
        }
    }

    /// Notes that a server could not be reached, or broke a stream off.
    pub fn record_failure(&mut self, now: Timestamp, server: ServerKey) {
        self.health
            .entry(server)
            .or_default()
            .record_unreachable(now);
    }

    /// Notes that a server lost its memory or is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.cache.remove_server(server);
        self.health.remove(&server);
    }

    /// Takes in what a peer has at the engines and where it sent prompts.
    pub fn merge_peer_state(
        &mut self,
        now: Timestamp,
        fleet: &ServerRegistry,
        peer: &str,
        loads: &[EngineLoad],
        placed: &[CachedPart],
    ) {
        let record = PeerLoads {
            heard: now,
            loads: loads.iter().map(|load| (load.server, *load)).collect(),
        };
        self.peers.insert(peer.to_owned(), record);
        self.sum_others(now);
        self.merge_cached_parts(now, fleet, placed);
    }

    /// Takes in where prompts were sent.
    pub fn merge_cached_parts(
        &mut self,
        now: Timestamp,
        fleet: &ServerRegistry,
        placed: &[CachedPart],
    ) {
        for prompt in placed {
            if let Some(server) = fleet.find_by_hash(prompt.server) {
                self.cache.record_use(now, server, prompt.prefix_hash);
            }
        }
    }

    /// Returns which engines have which parts, as far as the hosts of a large fleet were not told.
    pub fn take_unsent_parts(&mut self, now: Timestamp, fleet: &ServerRegistry) -> Vec<CachedPart> {
        let untold = self.cache.take_unsent(now, MAX_TOLD_PARTS).into_iter();
        let placed = untold.map(|(server, prefix_hash)| {
            let server = fleet.server(server).hash;
            CachedPart {
                server,
                prefix_hash,
            }
        });
        placed.collect()
    }

    /// Takes in what a collecting host tells of all hosts together.
    pub fn apply_aggregate(
        &mut self,
        now: Timestamp,
        fleet: &ServerRegistry,
        loads: &[EngineLoad],
    ) {
        self.followed_at = Some(now);
        self.others.clear();
        for load in loads {
            let own = fleet
                .find_by_hash(load.server)
                .and_then(|key| self.own.get(&key));
            let own = own.copied().unwrap_or_default();
            let rest = OtherLoad {
                waiting_tokens: (f64::from(load.waiting_tokens) - own.waiting_tokens).max(0.0),
                requests: (f64::from(load.requests) - f64::from(own.requests)).max(0.0),
                memory_tokens: (f64::from(load.memory_tokens) - own.memory_tokens).max(0.0),
            };
            self.others.insert(load.server, rest);
        }
    }

    /// Stops following, as this host collects itself now.
    pub const fn stop_applying_aggregate(&mut self) {
        self.followed_at = None;
    }

    /// Returns what all hosts together have at the engines, for the hosts of a large fleet.
    #[must_use]
    pub fn total_loads(&self, fleet: &ServerRegistry) -> Vec<EngineLoad> {
        let mut sums = self.others.clone();
        for own in self.own_loads(fleet) {
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

    fn is_following(&self, now: Timestamp) -> bool {
        self.followed_at.is_some_and(|at| now.since(at) < LOAD_SPAN)
    }

    /// Returns what this host has at the engines, for its peers.
    #[must_use]
    pub fn own_loads(&self, fleet: &ServerRegistry) -> Vec<EngineLoad> {
        let loads = self.own.iter().map(|(server, load)| EngineLoad {
            server: fleet.server(*server).hash,
            waiting_tokens: load.waiting_tokens as u32,
            requests: load.requests.min(u32::from(u16::MAX)) as u16,
            memory_tokens: load.memory_tokens as u32,
        });
        loads.collect()
    }

    /// Returns where this host sent prompts lately, for its peers.
    pub fn recent_parts(&mut self, now: Timestamp) -> Vec<CachedPart> {
        self.placed.retain(|(at, _)| now.since(*at) < PLACED_SPAN);
        self.placed.iter().map(|(_, prompt)| *prompt).collect()
    }

    /// Returns the prompt tokens a second that this host's callers ask to have read, by service.
    pub fn demand(&mut self, now: Timestamp) -> Vec<(String, f64)> {
        let rates = self.demand.iter_mut();
        rates
            .map(|(service, meter)| (service.clone(), meter.rate(now)))
            .collect()
    }

    /// Returns how fast the engines of a service read.
    #[must_use]
    pub fn speed(&self, service: &str) -> EngineSpeed {
        self.speeds.get(service).copied().unwrap_or_default()
    }

    /// Drops what is too old to tell anything.
    pub fn prune(&mut self, now: Timestamp) {
        self.cache.prune(now);
        self.peers
            .retain(|_, peer| now.since(peer.heard) < LOAD_SPAN);
        self.sum_others(now);
    }

    fn best_candidate(
        &self,
        now: Timestamp,
        fleet: &ServerRegistry,
        query: &EngineQuery<'_>,
    ) -> Option<Candidate> {
        let servers = fleet.of_service(query.service);
        let untried = servers.filter(|(key, _)| !query.tried.contains(key));
        let candidates: Vec<Candidate> = untried
            .map(|(key, server)| self.candidate(now, query, key, server.hash))
            .collect();
        let sound = candidates.iter().filter(|candidate| {
            let health = self.health.get(&candidate.server);
            !health.is_some_and(|health| health.is_avoided(now))
        });
        let mut sound: Vec<&Candidate> = sound.collect();
        if query.is_load_stale {
            sound.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.preference));
            let near = LATE_NEWS_WIDTHS.iter().find_map(|width| {
                let is_cached =
                    |candidate: &Candidate| candidate.new_tokens < query.prompt.prompt_tokens;
                let cached = sound.iter().skip(*width).filter(|one| is_cached(one));
                let near = sound.iter().take(*width).chain(cached);
                let best = near.min_by(|a, b| a.compare(b))?;
                (best.predicted_latency <= query.target.mul_f64(TARGET_SHARE)).then_some(**best)
            });
            if near.is_some() {
                return near;
            }
        }
        let best = sound.into_iter().min_by(|a, b| a.compare(b));
        best.or_else(|| candidates.iter().min_by(|a, b| a.compare(b)))
            .copied()
    }

    fn candidate(
        &self,
        now: Timestamp,
        query: &EngineQuery<'_>,
        server: ServerKey,
        hash: u64,
    ) -> Candidate {
        let own = self.own.get(&server).copied().unwrap_or_default();
        let others = self.others.get(&hash).copied().unwrap_or_default();
        let speed = self.speed(query.service);
        let cached = self.cache.cached_tokens(now, server, query.prompt);
        let new_tokens = query.prompt.prompt_tokens.saturating_sub(cached);
        let tokens_ahead = own.waiting_tokens + others.waiting_tokens;
        let own_span = speed.prefill_time(f64::from(new_tokens));
        let mut predicted_latency = speed.prefill_time(f64::from(new_tokens) + tokens_ahead);
        let requests = f64::from(own.requests) + others.requests;
        let beyond = requests + 1.0 - f64::from(query.spec.slots);
        if beyond > 0.0 {
            predicted_latency += SLOT_WAIT.mul_f64(beyond);
        }
        let memory = own.memory_tokens + others.memory_tokens;
        let needed = memory + f64::from(query.prompt.total_tokens());
        if needed > query.spec.memory_tokens * MEMORY_SHARE {
            predicted_latency += MEMORY_WAIT;
        }
        let failures = self
            .health
            .get(&server)
            .map_or(0.0, ServerHealth::failure_share);
        let cost = predicted_latency.as_secs_f64()
            + own_span.as_secs_f64() * WORK_WEIGHT
            + failures * query.target.as_secs_f64();
        Candidate {
            server,
            predicted_latency,
            own_span,
            new_tokens,
            tokens_ahead,
            cost_ms: cost * 1_000.0,
            preference: preference(query.prompt, hash),
        }
    }

    fn check_admission(&mut self, query: &EngineQuery<'_>, best: Candidate) -> Result<()> {
        let target = query.target.mul_f64(TARGET_SHARE);
        let wait = best.predicted_latency.saturating_sub(best.own_span);
        let is_late_by_size = best.own_span > target;
        let is_on_time = best.predicted_latency <= target;
        let is_short_wait = is_late_by_size && wait <= query.target.mul_f64(WAIT_SHARE);
        if (is_on_time || is_short_wait) && best.predicted_latency < query.caller_timeout {
            return Ok(());
        }
        let spread = self.random.random_range(1.0..1.6);
        let room_in = best
            .predicted_latency
            .saturating_sub(target)
            .mul_f64(spread);
        let detail = format!(
            "first event predicted in {} ms, wanted in {} ms",
            best.predicted_latency.as_millis(),
            query.target.as_millis()
        );
        let refusal = RequestRefusal::not_run(RefusalReason::PredictedLate, detail);
        Err(refusal.retry_after(room_in.clamp(MIN_RETRY, MAX_RETRY)))
    }

    fn book(
        &mut self,
        now: Timestamp,
        fleet: &ServerRegistry,
        query: &EngineQuery<'_>,
        best: Candidate,
    ) -> EngineReservation {
        self.last_id += 1;
        let id = ReservationId(self.last_id);
        let stream = OpenStream {
            server: best.server,
            sent: now,
            waiting_tokens: f64::from(best.new_tokens),
            memory_tokens: f64::from(query.prompt.total_tokens()),
            tokens_ahead: best.tokens_ahead,
        };
        self.open.insert(id, stream);
        let load = self.own.entry(best.server).or_default();
        load.waiting_tokens += stream.waiting_tokens;
        load.memory_tokens += stream.memory_tokens;
        load.requests += 1;
        let server = fleet.server(best.server).hash;
        for part in &query.prompt.parts {
            self.cache.record_use(now, best.server, part.prefix_hash);
        }
        for part in query.prompt.parts.iter().rev().skip(1) {
            let prefix_hash = part.prefix_hash;
            self.placed.push((
                now,
                CachedPart {
                    server,
                    prefix_hash,
                },
            ));
        }
        EngineReservation {
            id,
            server: best.server,
            predicted_latency: best.predicted_latency,
            new_tokens: best.new_tokens,
            tokens_ahead: best.tokens_ahead,
        }
    }

    fn sum_others(&mut self, now: Timestamp) {
        if self.is_following(now) {
            return;
        }
        self.others.clear();
        let fresh = self
            .peers
            .values()
            .filter(|peer| now.since(peer.heard) < LOAD_SPAN);
        for load in fresh.flat_map(|peer| peer.loads.values()) {
            let sum = self.others.entry(load.server).or_default();
            sum.waiting_tokens += f64::from(load.waiting_tokens);
            sum.requests += f64::from(load.requests);
            sum.memory_tokens += f64::from(load.memory_tokens);
        }
    }

    fn no_server(&mut self) -> RequestRefusal {
        let spread = self.random.random_range(1.0..2.0);
        let refusal = RequestRefusal::not_run(RefusalReason::NoServer, "no engine takes work");
        refusal.retry_after(MIN_RETRY.mul_f64(2.0 * spread))
    }
}
