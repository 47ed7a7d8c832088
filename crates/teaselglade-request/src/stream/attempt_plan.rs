//! Steps towards a stream's next attempt.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::AttemptCause;

/// Steps towards a stream's next attempt.
#[derive(Debug, Clone)]
pub(super) struct AttemptPlan {
    pub(super) operation_id: u32,
    pub(super) cause: AttemptCause,
    /// Server to call again over a new connection.
    pub(super) same_server: Option<ServerKey>,
    /// When the stream is given up for want of a server.
    pub(super) give_up_at: Timestamp,
    pub(super) step: PlanStep,
}

/// What a lost attempt means for the one that replaces it.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostAttempt {
    pub(super) server: ServerKey,
    /// Server to call again over a new connection.
    pub(super) same_server: Option<ServerKey>,
    /// Whether the same server caches the whole prefix.
    pub(super) is_cheap: bool,
}

impl LostAttempt {
    /// Makes the loss of an attempt whose server is not called again.
    pub(super) const fn at(server: ServerKey) -> Self {
        Self {
            server,
            same_server: None,
            is_cheap: false,
        }
    }
}

/// What a plan waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlanStep {
    /// Decision of the retry budget.
    AskingBudget,
    /// End of the delay before a retry.
    Delaying { until: Timestamp },
    /// Choice of a server.
    Placing,
    /// Time of the next choice.
    Pausing { until: Timestamp },
    /// Arrival of the KV cache.
    MovingKv { target: ServerKey, until: Timestamp },
}

impl AttemptPlan {
    pub(super) const fn due_at(&self) -> Option<Timestamp> {
        match self.step {
            PlanStep::AskingBudget | PlanStep::Placing => None,
            PlanStep::Delaying { until }
            | PlanStep::Pausing { until }
            | PlanStep::MovingKv { until, .. } => Some(until),
        }
    }
}
