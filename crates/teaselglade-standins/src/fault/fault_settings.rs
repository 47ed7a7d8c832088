//! Faults that a stand-in injects.

use serde::{Deserialize, Serialize};

/// Faults that a stand-in injects.
///
/// The body of `POST /faults` replaces all of them; an absent field turns its fault off.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Refuses every call with status 503 before it has any effect.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of calls that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Delay of the effect of calls whose response is lost, in milliseconds.
    pub late_effect_ms: u64,
    /// Stops responding for good on all connections open now; new ones work.
    pub silence: bool,
    /// Refuses orders of hosts for lack of capacity, with status 409.
    pub refuse_starts: bool,
}
