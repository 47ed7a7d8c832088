//! Streams at the worst load: what is let in is on time, and shared parts are read once.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_routing::engine::{
    CachedPart, EngineLoad, EnginePlacer, EngineQuery, PromptShape, ReservationId,
};
use teaselglade_routing::registry::ServerRegistry;
use teaselglade_routing::table::EngineSpec;

use super::fixture::{at, registration};

const SPEC: EngineSpec = EngineSpec {
    slots: 64,
    memory_tokens: 554_342.0,
    event_tokens: 4,
};
/// Tokens that an engine of the test reads in a millisecond.
const READ_RATE: f64 = 60.0;
const TARGET: Duration = Duration::from_millis(800);
const SERVERS: usize = 6;
const SHARED_PARTS: u64 = 40;

/// Engines that read prompts one after the other and keep all parts.
struct Engines {
    fleet: ServerRegistry,
    free_at_ms: HashMap<ServerKey, f64>,
    kept: HashMap<(ServerKey, u64), bool>,
    read_again: u64,
}

impl Engines {
    fn new() -> Self {
        Self::of(SERVERS)
    }

    fn of(servers: usize) -> Self {
        let mut fleet = ServerRegistry::default();
        for server in 0..servers {
            fleet.apply_registration(at(0), registration(&format!("i-{server}"), 1, 1));
        }
        Self {
            fleet,
            free_at_ms: HashMap::new(),
            kept: HashMap::new(),
            read_again: 0,
        }
    }

    /// Returns when the first event of a prompt comes.
    fn read(&mut self, now_ms: f64, server: ServerKey, prompt: &PromptShape) -> f64 {
        let mut tokens = f64::from(prompt.prompt_tokens);
        for part in &prompt.parts {
            let somewhere = self
                .kept
                .keys()
                .any(|(_, chain)| *chain == part.prefix_hash);
            if self.kept.insert((server, part.prefix_hash), true).is_some() {
                tokens -= f64::from(part.tokens);
            } else if somewhere {
                self.read_again += u64::from(part.tokens);
            }
        }
        let free = self.free_at_ms.entry(server).or_default();
        *free = free.max(now_ms) + tokens / READ_RATE;
        *free
    }
}

fn query(prompt: &PromptShape) -> EngineQuery<'_> {
    EngineQuery {
        service: "draft-fleet",
        spec: &SPEC,
        prompt,
        target: TARGET,
        caller_timeout: Duration::from_secs(10),
        tried: &[],
        is_continued: false,
        is_load_stale: false,
    }
}

struct Outcome {
    on_time: usize,
    late: usize,
    refused: usize,
    read_again: u64,
}

/// Offers `per_second` prompts of 13,300 shared and 3,700 own tokens for some seconds.
///
/// Ten a second for six seconds go before them, so that engines have read the shared parts.
fn play(per_second: u64, seconds: u64) -> Outcome {
    let mut engines = Engines::new();
    let mut placer = EnginePlacer::new(7);
    let mut due: BTreeMap<u64, Vec<ReservationId>> = BTreeMap::new();
    let mut outcome = Outcome {
        on_time: 0,
        late: 0,
        refused: 0,
        read_again: 0,
    };
    let warm_up = 60;
    for index in 0..warm_up + per_second * seconds {
        let is_warm = index >= warm_up;
        let now = if is_warm {
            6_000 + (index - warm_up) * 1_000 / per_second
        } else {
            index * 100
        };
        while let Some(entry) = due.first_entry().filter(|entry| *entry.key() <= now) {
            let first_at = *entry.key();
            for ticket in entry.remove() {
                placer.record_first_event(at(first_at), "draft-fleet", ticket);
                placer.record_end(ticket);
            }
        }
        let shared = index * 7_919 % SHARED_PARTS;
        let prompt = PromptShape::new(17_000, 120, [(shared, 13_300), (1_000 + index, 3_700)]);
        let query = query(&prompt);
        match placer.place(at(now), &engines.fleet, &query) {
            Ok(seat) => {
                let first_at = engines.read(now as f64, seat.server, &prompt);
                due.entry(first_at.ceil() as u64).or_default().push(seat.id);
                if !is_warm {
                    continue;
                }
                if first_at - now as f64 <= TARGET.as_secs_f64() * 1_000.0 {
                    outcome.on_time += 1;
                } else {
                    outcome.late += 1;
                }
            }
            Err(refusal) => {
                assert!(refusal.retry_after.is_some(), "{refusal}");
                outcome.refused += 1;
            }
        }
    }
    outcome.read_again = engines.read_again;
    outcome
}

#[test]
fn at_the_usual_load_nothing_is_refused_and_shared_parts_are_read_once() {
    // 40 prompts a second need 148,000 own tokens of the 360,000 that six engines read.
    let outcome = play(40, 20);
    assert_eq!(outcome.refused, 0);
    assert_eq!(outcome.late, 0);
    let asked = 40 * 20 * 13_300_u64;
    assert!(
        outcome.read_again * 20 < asked,
        "{} of {asked}",
        outcome.read_again
    );
}

#[test]
fn at_twice_what_engines_read_those_let_in_are_on_time() {
    // 200 prompts a second need 740,000 own tokens, twice what six engines read.
    let outcome = play(200, 10);
    let let_in = outcome.on_time + outcome.late;
    assert!(outcome.refused > 0);
    assert!(
        outcome.late * 20 <= let_in,
        "{} of {let_in} late",
        outcome.late
    );
    // Six engines read 97 such prompts a second; a burst's queue must not cost more than a fifth.
    assert!(let_in >= 97 * 10 * 8 / 10, "{let_in} let in");
}

#[test]
fn the_end_of_a_burst_leaves_no_queue_behind() {
    let mut engines = Engines::new();
    let mut placer = EnginePlacer::new(7);
    let prompt = PromptShape::new(5_000, 120, [(1, 5_000)]);
    let query = query(&prompt);
    let mut tickets = Vec::new();
    while let Ok(seat) = placer.place(at(0), &engines.fleet, &query) {
        engines.read(0.0, seat.server, &prompt);
        tickets.push(seat.id);
        assert!(
            tickets.len() < 10_000,
            "a burst is turned away at some point"
        );
    }
    for ticket in tickets {
        placer.record_first_event(at(900), "draft-fleet", ticket);
        placer.record_end(ticket);
    }
    let seat = placer
        .place(at(901), &engines.fleet, &query)
        .expect("room again");
    assert!(seat.tokens_ahead < 1.0);
}

#[test]
fn a_prompt_that_is_late_by_its_own_size_runs_where_nothing_waits() {
    let engines = Engines::new();
    let mut placer = EnginePlacer::new(7);
    let let_in = (0..SERVERS as u64 * 3).filter(|id| {
        let prompt = PromptShape::new(90_000, 120, [(*id, 90_000)]);
        let query = query(&prompt);
        placer.place(at(0), &engines.fleet, &query).is_ok()
    });
    assert_eq!(let_in.count(), SERVERS, "one on each engine");
}

#[test]
fn hosts_that_know_nothing_of_each_other_send_a_new_part_to_the_same_engine() {
    let engines = Engines::new();
    for shared in 0..50 {
        let prompt = PromptShape::new(9_000, 120, [(shared, 6_000), (99, 3_000)]);
        let query = query(&prompt);
        let place = |seed| EnginePlacer::new(seed).place(at(0), &engines.fleet, &query);
        let servers = [1, 2, 3].map(|seed| place(seed).map(|seat| seat.server));
        assert!(servers[0].is_ok() && servers[0] == servers[1] && servers[1] == servers[2]);
    }
}

/// Offers `per_second` prompts to 86 hosts that hear of one another's load 450 ms late, as on the
/// grown deployments; returns the part that is on time.
fn play_large_fleet(servers: usize, per_second: u64, is_news_late: bool) -> f64 {
    const HOSTS: usize = 86;
    const ROUND_MS: u64 = 400;
    const LAG_MS: u64 = 250;
    let mut engines = Engines::of(servers);
    let mut placers: Vec<EnginePlacer> = (0..HOSTS as u64).map(EnginePlacer::new).collect();
    let mut due: BTreeMap<u64, Vec<(usize, ReservationId)>> = BTreeMap::new();
    let mut told: Option<(u64, Vec<EngineLoad>, Vec<CachedPart>)> = None;
    let mut collector = EnginePlacer::new(0);
    let (mut on_time, mut offered) = (0.0, 0.0);
    for now in 0..20_000_u64 {
        while let Some(entry) = due.first_entry().filter(|entry| *entry.key() <= now) {
            let first_at = *entry.key();
            for (host, ticket) in entry.remove() {
                placers[host].record_first_event(at(first_at), "draft-fleet", ticket);
                placers[host].record_end(ticket);
            }
        }
        if now % ROUND_MS == 0 {
            let mut sums: HashMap<u64, EngineLoad> = HashMap::new();
            for load in placers
                .iter()
                .flat_map(|placer| placer.own_loads(&engines.fleet))
            {
                let empty = EngineLoad {
                    server: load.server,
                    ..EngineLoad::default()
                };
                let sum = sums.entry(load.server).or_insert(empty);
                sum.waiting_tokens += load.waiting_tokens;
                sum.requests += load.requests;
                sum.memory_tokens += load.memory_tokens;
            }
            for placer in &mut placers {
                let placed = placer.recent_parts(at(now));
                collector.merge_cached_parts(at(now), &engines.fleet, &placed);
            }
            let placed = collector.take_unsent_parts(at(now), &engines.fleet);
            collector.prune(at(now));
            told = Some((now + LAG_MS, sums.into_values().collect(), placed));
        }
        if let Some((_, loads, placed)) = told.take_if(|(heard_at, ..)| *heard_at == now) {
            for placer in &mut placers {
                placer.apply_aggregate(at(now), &engines.fleet, &loads);
                placer.merge_cached_parts(at(now), &engines.fleet, &placed);
                placer.prune(at(now));
            }
        }
        let before = now * per_second / 1_000;
        for index in before..(now + 1) * per_second / 1_000 {
            let host = (index * 31) as usize % HOSTS;
            let shared = index * 7_919 % 1_100;
            let prompt = PromptShape::new(10_000, 120, [(shared, 6_300), (9_000 + index, 3_700)]);
            let mut query = query(&prompt);
            query.is_load_stale = is_news_late;
            let is_counted = now >= 5_000;
            offered += if is_counted { 1.0 } else { 0.0 };
            let Ok(seat) = placers[host].place(at(now), &engines.fleet, &query) else {
                continue;
            };
            let first_at = engines.read(now as f64, seat.server, &prompt);
            due.entry(first_at.ceil() as u64)
                .or_default()
                .push((host, seat.id));
            if is_counted && first_at - now as f64 <= TARGET.as_secs_f64() * 1_000.0 {
                on_time += 1.0;
            }
        }
    }
    on_time / offered
}

/// Replays the first seconds of the grown deployments: engines that looked empty half a second ago
/// got the prompts of all hosts, while others stood idle.
#[test]
fn hosts_with_the_same_old_news_spread_their_prompts() {
    // 400 prompts a second, of which 60 engines read 580 where all parts have to be read.
    let together = play_large_fleet(60, 400, false);
    let spread = play_large_fleet(60, 400, true);
    assert!(
        spread >= 0.85 && spread > 2.0 * together,
        "{spread}, {together} where all engines are looked at"
    );
}
