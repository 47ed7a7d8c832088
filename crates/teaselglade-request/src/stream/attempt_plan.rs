//! Plan of a stream's next attempt.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::AttemptCause;

/// Plans a stream's next attempt.
#[derive(Debug, Clone)]
pub(super) struct AttemptPlan {
    /// Operation whose result the plan waits for.
    pub(super) operation_id: u32,
    pub(super) cause: AttemptCause,
    /// Server to call again over a new connection.
    pub(super) reconnect_to: Option<ServerKey>,
    /// Time after which a failed placement refuses the request, unless an attempt still runs.
    pub(super) give_up_at: Timestamp,
    pub(super) step: PlanStep,
}

/// Describes a lost attempt to the plan that replaces it.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostAttempt {
    pub(super) server: ServerKey,
    /// Server to call again over a new connection.
    pub(super) reconnect_to: Option<ServerKey>,
    /// Whether the server to reconnect to caches the whole prefix.
    pub(super) is_prefix_cached: bool,
}

impl LostAttempt {
    /// Describes the loss of an attempt whose server is not called again.
    pub(super) const fn without_reconnect(server: ServerKey) -> Self {
        Self {
            server,
            reconnect_to: None,
            is_prefix_cached: false,
        }
    }
}

/// Names what a plan waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlanStep {
    /// The decision of the retry budget.
    AwaitingBudget,
    /// The end of the backoff delay before a retry.
    BackingOff { until: Timestamp },
    /// The choice of a server.
    Placing,
    /// The time of the next placement, after one that found no usable server.
    PlacementDelay { until: Timestamp },
    /// The arrival of the KV cache at the target.
    MovingKv { target: ServerKey, until: Timestamp },
}

impl AttemptPlan {
    /// Returns when the current step ends by itself.
    pub(super) const fn due_at(&self) -> Option<Timestamp> {
        match self.step {
            PlanStep::AwaitingBudget | PlanStep::Placing => None,
            PlanStep::BackingOff { until }
            | PlanStep::PlacementDelay { until }
            | PlanStep::MovingKv { until, .. } => Some(until),
        }
    }
}
