//! Choice of the engines whose loads an aggregator tells next.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::EngineLoad;

/// Most engines whose loads one aggregate tells; 8 KB.
const MAX_LOADS: usize = 400;
/// Most of them that are chosen because their loads changed; the others take turns.
const MAX_CHANGED_LOADS: usize = 300;
/// Fraction of a load by which it has to change to be told before its turn.
const CHANGE_STEP: f64 = 0.125;
/// Prompt tokens that count as much as one request in a change of a load.
const TOKENS_PER_REQUEST: f64 = 1_000.0;

/// Loads that the hosts served by an aggregator know from it.
///
/// While all engines fit one aggregate, each tells all. Beyond that an aggregate tells the loads
/// that changed most, and others in turn, so that its size does not grow with the engines.
#[derive(Debug, Default)]
pub(super) struct LoadTurns {
    told: BTreeMap<u64, EngineLoad>,
    /// First engine whose turn it is.
    next: u64,
}

/// Loads that one aggregate tells.
#[derive(Debug, Clone, PartialEq)]
pub enum ToldLoads {
    /// Loads of all engines; those that are not named have none.
    All(Vec<EngineLoad>),
    /// Loads of some engines; those that are not named are as told before.
    Some(Vec<EngineLoad>),
}

impl LoadTurns {
    /// Chooses what the next aggregate tells of the present loads.
    pub(super) fn choose(&mut self, loads: Vec<EngineLoad>) -> ToldLoads {
        if loads.len() <= MAX_LOADS {
            self.told.clear();
            return ToldLoads::All(loads);
        }
        let mut present: BTreeMap<u64, EngineLoad> =
            loads.into_iter().map(|load| (load.server, load)).collect();
        // Engines that became idle are told once as such; a receiver forgets the others in time.
        for server in self.told.keys() {
            present.entry(*server).or_insert(EngineLoad {
                server: *server,
                waiting_tokens: 0,
                requests: 0,
                memory_tokens: 0,
            });
        }
        let mut changed: Vec<(u64, u64)> = present
            .values()
            .map(|load| (change(self.told.get(&load.server), load), load.server))
            .filter(|(change, _)| *change > 0)
            .collect();
        changed.sort_unstable_by_key(|entry| Reverse(*entry));
        let changed = changed.into_iter().take(MAX_CHANGED_LOADS);
        let mut chosen: BTreeMap<u64, EngineLoad> = changed
            .filter_map(|(_, server)| present.remove_entry(&server))
            .collect();
        let remaining = MAX_LOADS - chosen.len();
        let turns = present.range(self.next..).chain(present.range(..self.next));
        let turns: Vec<EngineLoad> = turns.take(remaining).map(|(_, load)| *load).collect();
        self.next = turns
            .last()
            .map_or(self.next, |load| load.server.wrapping_add(1));
        chosen.extend(turns.into_iter().map(|load| (load.server, load)));
        for (server, load) in &chosen {
            if load.requests == 0 {
                self.told.remove(server);
            } else {
                self.told.insert(*server, *load);
            }
        }
        ToldLoads::Some(chosen.into_values().collect())
    }
}

/// Returns how much a load changed since it was told, in tokens; 0 if by less than a step.
fn change(told: Option<&EngineLoad>, load: &EngineLoad) -> u64 {
    let weight = |load: &EngineLoad| {
        f64::from(load.requests) * TOKENS_PER_REQUEST + f64::from(load.waiting_tokens)
    };
    let before = told.map_or(0.0, weight);
    let change = (weight(load) - before).abs();
    if change > before * CHANGE_STEP {
        change as u64
    } else {
        0
    }
}
