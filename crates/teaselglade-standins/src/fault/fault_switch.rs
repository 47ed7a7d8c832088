//! Decides what a fault does to one call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::FaultSettings;

/// What faults do to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultPass {
    /// Whether the call is refused before any effect.
    pub refused: bool,
    /// Whether the call's connection is silent.
    pub silent: bool,
    /// Delay before the call's effect.
    pub delay: Duration,
    /// Whether the answer is lost after the effect.
    pub lost: bool,
    /// Delay of the effect behind the lost answer.
    pub late_effect: Duration,
    /// Generation of the call's connection.
    pub generation: u64,
}

#[derive(Debug, Default)]
struct SwitchState {
    settings: FaultSettings,
    generation: u64,
    connections: HashMap<SocketAddr, u64>,
}

/// Faults in force at one stand-in and the connections they concern.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    state: Mutex<SwitchState>,
}

impl FaultSwitch {
    /// Replaces the faults in force.
    pub fn set(&self, settings: FaultSettings) {
        let mut state = self.lock();
        if settings.silence {
            state.generation += 1;
        }
        state.settings = settings;
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn settings(&self) -> FaultSettings {
        self.lock().settings.clone()
    }

    /// Decides what the faults do to a call from `caller`.
    #[must_use]
    pub fn pass(&self, caller: Option<SocketAddr>) -> FaultPass {
        let mut state = self.lock();
        let present = state.generation;
        let generation = match caller {
            Some(address) => *state.connections.entry(address).or_insert(present),
            None => present,
        };
        let lost = state.settings.lose_answers > 0;
        if lost {
            state.settings.lose_answers -= 1;
        }
        FaultPass {
            refused: state.settings.down,
            silent: generation < present,
            delay: Duration::from_millis(state.settings.slow_ms),
            lost,
            late_effect: Duration::from_millis(state.settings.late_effect_ms),
            generation,
        }
    }

    /// Returns whether connections of this generation are silent.
    #[must_use]
    pub fn is_silent(&self, generation: u64) -> bool {
        generation < self.lock().generation
    }

    fn lock(&self) -> MutexGuard<'_, SwitchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
