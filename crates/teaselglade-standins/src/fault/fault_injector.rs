//! Decides which faults apply to a call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::FaultSettings;

/// Faults that apply to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFaults {
    /// Whether the call is refused before it has any effect.
    pub is_refused: bool,
    /// Whether the call's connection no longer responds.
    pub is_silent: bool,
    /// Delay before the call is handled.
    pub delay: Duration,
    /// Whether the call takes effect but its response is lost.
    pub is_response_lost: bool,
    /// Delay of the effect of a call whose response is lost.
    pub effect_delay: Duration,
    /// Generation of the call's connection; each `silence` fault starts a new one.
    pub generation: u64,
}

#[derive(Debug, Default)]
struct InjectorState {
    settings: FaultSettings,
    generation: u64,
    connections: HashMap<SocketAddr, u64>,
}

/// Holds the active faults of a stand-in and the generations of its connections.
#[derive(Debug, Default)]
pub struct FaultInjector {
    state: Mutex<InjectorState>,
}

impl FaultInjector {
    /// Replaces the active faults.
    pub fn set(&self, settings: FaultSettings) {
        let mut state = self.lock();
        if settings.silence {
            state.generation += 1;
        }
        state.settings = settings;
    }

    /// Returns the active faults.
    #[must_use]
    pub fn settings(&self) -> FaultSettings {
        self.lock().settings.clone()
    }

    /// Returns the faults that apply to a call from `caller`.
    ///
    /// Each call uses up one of the responses to lose.
    #[must_use]
    pub fn faults_for(&self, caller: Option<SocketAddr>) -> CallFaults {
        let mut state = self.lock();
        let current = state.generation;
        let generation = match caller {
            Some(address) => *state.connections.entry(address).or_insert(current),
            None => current,
        };
        let is_response_lost = state.settings.lose_answers > 0;
        if is_response_lost {
            state.settings.lose_answers -= 1;
        }
        CallFaults {
            is_refused: state.settings.down,
            is_silent: generation < current,
            delay: Duration::from_millis(state.settings.slow_ms),
            is_response_lost,
            effect_delay: Duration::from_millis(state.settings.late_effect_ms),
            generation,
        }
    }

    /// Returns whether connections of this generation no longer respond.
    #[must_use]
    pub fn is_silent(&self, generation: u64) -> bool {
        generation < self.lock().generation
    }

    fn lock(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
