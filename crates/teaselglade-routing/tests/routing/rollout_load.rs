//! Replay of model engines of which a new version fails only on servers that carry a usual load.
//!
//! Hosts decide for themselves, but know all loads; engines prefill one prompt after the other.
//! Prompts go where their shared part is cached, so that a few engines are far busier than the mean.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::id::ServerKey;
use teaselglade_routing::capacity::PlacementTerms;
use teaselglade_routing::engine::{EnginePlacer, EngineQuery, PromptShape, ReservationId};
use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use teaselglade_routing::rollout::{
    AttemptEvidence, AttemptRecord, RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage,
    VersionChoice,
};
use teaselglade_routing::table::EngineSpec;

use super::fixture::{at, registration};

const SERVICE: &str = "draft-fleet";
const SPEC: EngineSpec = EngineSpec {
    slots: 24,
    memory_tokens: 600_000.0,
    event_tokens: 6,
};
const PREFILL_TOKENS_PER_MS: f64 = 64.0;
const EVENT_MS: u64 = 22;
const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.1,
    exposure_slack: 50.0,
};
const STEP_MS: u64 = 5;
/// Latency to which hosts scale times to the first event.
const USUAL_LATENCY: Duration = Duration::from_millis(40);
const HOSTS: usize = 10;
const ORGANISATIONS: u64 = 16;
const ORDER_AT_MS: u64 = 3_000;
const OVER_MS: u64 = 15_000;
/// Age of the order from which few new servers carry the trial.
const LOADED_AFTER_MS: u64 = OVER_MS * 2 / 5;
/// Requests of all callers in a second, for each old server.
const REQUESTS_PER_SERVER: f64 = 3.0;
/// Time between reports of all hosts to each other.
const REPORT_MS: u64 = 200;

/// Prompt tokens that others share, own tokens, events, and weight of a route.
const ROUTES: [(u32, u32, u64, u32); 3] = [
    (13_300, 3_720, 20, 28),
    (6_300, 2_890, 9, 38),
    (350, 1_110, 29, 34),
];

#[derive(Debug, Clone, Copy)]
struct Scenario {
    old_servers: usize,
    new_servers: usize,
    /// Open requests from which a server of the new version fails half of them; `None` for a good
    /// version.
    fails_from: Option<usize>,
    /// Whether the first new server that is tried under load fails half of its requests at any load.
    has_grey: bool,
    seed: u64,
}

struct OpenCall {
    host: usize,
    server: ServerKey,
    reservation: ReservationId,
    record: Option<AttemptRecord>,
    sent_at: u64,
    predicted: Duration,
    is_failure: bool,
    ends_at: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    exposed: usize,
    failures: usize,
    refused: usize,
    stages: Vec<(u64, RolloutStage)>,
    completed_at: Option<u64>,
    last_exposed_at: u64,
    /// Attempts at the grey server before all traffic goes to the new version.
    grey_attempts: usize,
    /// Attempts under load at each other new server before that.
    sound_attempts: BTreeMap<ServerKey, usize>,
    final_stages: Vec<RolloutStage>,
}

struct LoadReplay {
    scenario: Scenario,
    registry: ServerRegistry,
    desks: Vec<RolloutDesk>,
    placer: EnginePlacer,
    free_at: BTreeMap<ServerKey, f64>,
    active: BTreeMap<ServerKey, usize>,
    cached: HashSet<(ServerKey, u64)>,
    grey: Option<ServerKey>,
    firsts: BTreeMap<u64, Vec<OpenCall>>,
    ends: BTreeMap<u64, Vec<OpenCall>>,
    random: Pcg32,
    outcome: Outcome,
}

fn versioned(id: &str, version: &str) -> ServerRegistration {
    ServerRegistration {
        version: version.to_owned(),
        slots: Some(SPEC.slots),
        ..registration(id, if version == "v1" { 1 } else { 2 }, 1)
    }
}

impl LoadReplay {
    fn new(scenario: Scenario) -> Self {
        let mut registry = ServerRegistry::default();
        for number in 0..scenario.old_servers {
            registry.apply_registration(at(0), versioned(&format!("i-old-{number}"), "v1"));
        }
        let desks = (0..HOSTS).map(|host| RolloutDesk::new(format!("edge-{host}"), Some(BOUNDS)));
        Self {
            scenario,
            registry,
            desks: desks.collect(),
            placer: EnginePlacer::new(scenario.seed),
            free_at: BTreeMap::new(),
            active: BTreeMap::new(),
            cached: HashSet::new(),
            grey: None,
            firsts: BTreeMap::new(),
            ends: BTreeMap::new(),
            random: Pcg32::seed_from_u64(scenario.seed),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now in (0..ORDER_AT_MS + OVER_MS).step_by(STEP_MS as usize) {
            if now == ORDER_AT_MS {
                self.order(now);
            }
            self.answer(now);
            self.send(now);
            self.decide(now);
            let mut desks = self.desks.iter();
            if desks.all(|desk| desk.stage(SERVICE) == Some(RolloutStage::RolledBack)) {
                break;
            }
        }
        let stages = self.desks.iter().filter_map(|desk| desk.stage(SERVICE));
        self.outcome.final_stages = stages.collect();
        self.outcome
    }

    fn order(&mut self, now: u64) {
        for number in 0..self.scenario.new_servers {
            let new = versioned(&format!("i-new-{number}"), "v2");
            self.registry.apply_registration(at(now), new);
        }
        let order = RolloutOrder {
            service: SERVICE.to_owned(),
            target: "v2".to_owned(),
            over_ms: OVER_MS,
            number: self.scenario.seed + 1,
        };
        for desk in &mut self.desks {
            desk.record_order(at(now), order.clone(), HOSTS, false);
            desk.update(at(now), &self.registry, &[SERVICE]);
        }
    }

    fn answer(&mut self, now: u64) {
        for mut call in self.firsts.remove(&now).into_iter().flatten() {
            self.placer
                .record_first_event(at(now), SERVICE, call.reservation);
            if let Some(record) = &mut call.record {
                // Relative to the prediction, as hosts record it.
                let ratio = (now - call.sent_at) as f64 / 1_000.0 / call.predicted.as_secs_f64();
                let answered = AttemptEvidence::Answered {
                    is_failure: call.is_failure,
                    latency: USUAL_LATENCY.mul_f64(ratio),
                };
                self.desks[call.host].record_result(record, answered);
            }
            self.outcome.failures += usize::from(call.is_failure);
            let ends_at = if call.is_failure { now } else { call.ends_at };
            self.ends.entry(ends_at).or_default().push(call);
        }
        for call in self.ends.remove(&now).into_iter().flatten() {
            self.placer.record_end(at(now), SERVICE, call.reservation);
            *self.active.entry(call.server).or_default() -= 1;
            if let Some(record) = &call.record {
                self.desks[call.host].record_closed(record);
            }
        }
    }

    fn send(&mut self, now: u64) {
        let servers = self.scenario.old_servers as f64;
        let mean = REQUESTS_PER_SERVER * servers * STEP_MS as f64 / 1_000.0;
        let count = mean.floor() as usize + usize::from(self.random.random_bool(mean.fract()));
        for _ in 0..count {
            let host = self.random.random_range(0..HOSTS);
            self.send_call(now, host);
        }
    }

    fn send_call(&mut self, now: u64, host: usize) {
        let route = self.draw_route();
        let (shared, own, events, _) = ROUTES[route];
        let shared_id = route as u64 * 1_000 + self.random.random_range(0..ORGANISATIONS);
        let own_id = self.random.random_range(1_000_000..u64::MAX);
        let output = events as u32 * SPEC.event_tokens;
        let prompt = PromptShape::new(shared + own, output, [(shared_id, shared), (own_id, own)]);
        let desk = &mut self.desks[host];
        let mut choice = desk.choose(at(now), SERVICE, route as u64, false);
        let placed = loop {
            let query = query(&prompt, &choice);
            match self.placer.place(at(now), &self.registry, &query) {
                Ok(placed) => break placed,
                Err(_refusal) => {
                    if choice.is_trial() {
                        desk.give_back(SERVICE, route as u64);
                    }
                    let Some(fallback) = choice.fallback() else {
                        self.outcome.refused += 1;
                        return;
                    };
                    choice = fallback;
                }
            }
        };
        let server = placed.server;
        let record = desk.record_sent(at(now), &self.registry, server, route as u64, true);
        let is_new = self.registry.server(server).registration.version == "v2";
        if now >= ORDER_AT_MS {
            self.outcome.requests += 1;
            self.outcome.exposed += usize::from(is_new);
        }
        if is_new {
            self.outcome.last_exposed_at = now;
            self.count_tried(now, host, server);
        }
        *self.active.entry(server).or_default() += 1;
        let is_failure = is_new && self.fails(server);
        let is_cached = !self.cached.insert((server, prompt.parts[0].prefix_hash));
        let tokens = if is_cached { own } else { shared + own };
        let free_at = self.free_at.entry(server).or_default();
        *free_at = free_at.max(now as f64) + f64::from(tokens) / PREFILL_TOKENS_PER_MS;
        let first_at = (*free_at as u64 + EVENT_MS).next_multiple_of(STEP_MS);
        let call = OpenCall {
            host,
            server,
            reservation: placed.id,
            record,
            sent_at: now,
            predicted: placed.predicted_latency.max(USUAL_LATENCY),
            is_failure,
            ends_at: (first_at + (events - 1) * EVENT_MS).next_multiple_of(STEP_MS),
        };
        self.firsts
            .entry(first_at.max(now + STEP_MS))
            .or_default()
            .push(call);
    }

    /// Counts attempts under load until all traffic goes to the new version.
    fn count_tried(&mut self, now: u64, host: usize, server: ServerKey) {
        let is_whole = self.desks[host].stage(SERVICE) >= Some(RolloutStage::Whole);
        if now < ORDER_AT_MS + LOADED_AFTER_MS || is_whole {
            return;
        }
        if self.scenario.has_grey && *self.grey.get_or_insert(server) == server {
            self.outcome.grey_attempts += 1;
        } else {
            *self.outcome.sound_attempts.entry(server).or_default() += 1;
        }
    }

    fn draw_route(&mut self) -> usize {
        let mut drawn = self.random.random_range(0..100);
        let weights = ROUTES.iter().map(|(.., weight)| *weight);
        let found = weights.enumerate().find(|(_, weight)| {
            let is_found = drawn < *weight;
            drawn = drawn.saturating_sub(*weight);
            is_found
        });
        found.map_or(0, |(route, _)| route)
    }

    /// Returns whether a server is busy enough to fail, and fails this request.
    fn fails(&mut self, server: ServerKey) -> bool {
        if self.grey == Some(server) {
            return self.random.random_bool(0.5);
        }
        let Some(fails_from) = self.scenario.fails_from else {
            return false;
        };
        self.active[&server] >= fails_from && self.random.random_bool(0.5)
    }

    fn decide(&mut self, now: u64) {
        if !now.is_multiple_of(100) || now < ORDER_AT_MS {
            return;
        }
        if now.is_multiple_of(REPORT_MS) {
            self.exchange(now);
        }
        let loads = self.placer.total_loads(&self.registry);
        for desk in &mut self.desks {
            desk.record_loads(at(now), &self.registry, &loads);
            desk.update(at(now), &self.registry, &[SERVICE]);
        }
        for status in self.desks[0].lead(at(now), HOSTS - 1) {
            let is_new = self.outcome.completed_at.is_none();
            if status.stage == RolloutStage::Completed && is_new {
                self.outcome.completed_at = Some(now);
            }
            if status.stage.is_final() {
                let number = status.order.number;
                self.desks[0].record_verdict(at(now), SERVICE, number, status.stage);
            }
        }
        let stage = self.desks[0].stage(SERVICE).expect("an order");
        if self
            .outcome
            .stages
            .last()
            .is_none_or(|last| last.1 != stage)
        {
            self.outcome.stages.push((now - ORDER_AT_MS, stage));
        }
    }

    fn exchange(&mut self, now: u64) {
        let reports: Vec<_> = self
            .desks
            .iter()
            .map(|desk| desk.report(at(now), 1, now / REPORT_MS))
            .collect();
        for (to, desk) in self.desks.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(from, _)| *from != to);
            others.for_each(|(_, report)| desk.merge(at(now), report.clone(), HOSTS));
        }
    }
}

fn query<'a>(prompt: &'a PromptShape, choice: &'a VersionChoice) -> EngineQuery<'a> {
    EngineQuery {
        service: SERVICE,
        spec: &SPEC,
        prompt,
        target: Duration::from_millis(800),
        caller_timeout: Duration::from_secs(8),
        tried: &[],
        is_continued: false,
        is_load_stale: true,
        selected_by: None,
        terms: PlacementTerms {
            versions: choice.scope(),
            ..PlacementTerms::default()
        },
    }
}

/// Open requests at the busiest old engine, as a mean over time.
const BUSY_LOAD: usize = 13;

/// Checks that a bad version stays within the bound, by the requests until it was rolled back.
fn check_bad(scenario: Scenario) {
    let outcome = LoadReplay::new(scenario).run();
    let mut stages = outcome.final_stages.iter();
    assert!(
        stages.all(|stage| *stage == RolloutStage::RolledBack),
        "{scenario:?}: {outcome:?}"
    );
    let bound = outcome.requests as f64 * BOUNDS.exposure_share + BOUNDS.exposure_slack;
    assert!(outcome.exposed as f64 <= bound, "{scenario:?}: {outcome:?}");
}

#[test]
fn engines_that_fail_at_a_load_that_old_ones_carry_are_rolled_back_within_the_exposure() {
    for seed in 0..4 {
        check_bad(Scenario {
            old_servers: 140,
            new_servers: 140,
            fails_from: Some(BUSY_LOAD),
            has_grey: false,
            seed,
        });
    }
}

#[test]
fn engines_that_fail_at_such_a_load_are_rolled_back_where_fewer_are_new() {
    check_bad(Scenario {
        old_servers: 140,
        new_servers: 40,
        fails_from: Some(BUSY_LOAD),
        has_grey: false,
        seed: 1,
    });
}

#[test]
fn engines_of_which_one_fails_alone_at_first_are_rolled_back_within_the_exposure() {
    for seed in 0..3 {
        check_bad(Scenario {
            old_servers: 140,
            new_servers: 140,
            fails_from: Some(28),
            has_grey: false,
            seed,
        });
    }
}

#[test]
fn an_engine_that_fails_alone_leaves_the_trial_to_sound_ones_that_are_completed_in_time() {
    for seed in 0..4 {
        let scenario = Scenario {
            old_servers: 140,
            new_servers: 140,
            fails_from: None,
            has_grey: true,
            seed,
        };
        let outcome = LoadReplay::new(scenario).run();
        let completed_at = outcome.completed_at.unwrap_or(u64::MAX);
        assert!(completed_at <= ORDER_AT_MS + OVER_MS, "{outcome:?}");
        assert_eq!(outcome.refused, 0, "{outcome:?}");
        // One server must not stand for its version.
        let attempts = outcome.sound_attempts.values();
        let busier = attempts.filter(|attempts| **attempts > outcome.grey_attempts);
        assert!(busier.count() >= 2, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn sound_engines_that_carry_such_a_load_on_trial_are_completed_in_time() {
    let scenario = Scenario {
        old_servers: 140,
        new_servers: 140,
        fails_from: None,
        has_grey: false,
        seed: 1,
    };
    let outcome = LoadReplay::new(scenario).run();
    let completed_at = outcome.completed_at.unwrap_or(u64::MAX);
    assert!(completed_at <= ORDER_AT_MS + OVER_MS, "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}
