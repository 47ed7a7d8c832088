//! Faults in force at one stand-in.

use serde::{Deserialize, Serialize};

/// Faults in force at one stand-in; the body of `POST /faults` replaces them all.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Refuses every call before any effect.
    pub down: bool,
    /// Delays every call, in milliseconds.
    pub slow_ms: u64,
    /// Loses the answers to this many calls after their effect.
    pub lose_answers: u32,
    /// Delays the effect of the calls whose answers are lost, in milliseconds.
    pub late_effect_ms: u64,
    /// Makes all connections that are open now go silent for good; new ones work.
    pub silence: bool,
    /// Refuses starts and reservations for want of capacity.
    pub refuse_starts: bool,
}
