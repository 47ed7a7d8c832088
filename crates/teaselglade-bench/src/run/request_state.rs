//! State of one request and its attempts in a run.

use std::time::Duration;

use teaselglade_core::id::{AttemptId, RequestId};
use teaselglade_core::time::Timestamp;

use crate::workload::RequestPlan;

/// Maximum fraction of a request's token gaps that may exceed the target.
const MAX_LATE_GAP_FRACTION: f64 = 0.05;

/// State of one request of a run.
#[derive(Debug, Clone)]
pub(super) struct RequestState {
    pub(super) plan: RequestPlan,
    pub(super) arrived_at: Timestamp,
    pub(super) attempt: AttemptId,
    /// Tokens that the previous attempt had computed when it failed.
    pub(super) lost_tokens: u32,
    pub(super) delivered_tokens: u32,
    pub(super) first_token_at: Option<Timestamp>,
    pub(super) last_token_at: Timestamp,
    pub(super) late_gaps: u32,
    pub(super) has_ended: bool,
}

impl RequestState {
    pub(super) fn new(index: usize, plan: RequestPlan, start: Timestamp) -> Self {
        let arrived_at = start + plan.arrival;
        Self {
            plan,
            arrived_at,
            attempt: AttemptId::first(RequestId::from_bits(index as u128)),
            lost_tokens: 0,
            delivered_tokens: 0,
            first_token_at: None,
            last_token_at: arrived_at,
            late_gaps: 0,
            has_ended: false,
        }
    }

    /// Returns the prompt length of the next attempt, including delivered output tokens.
    pub(super) const fn prompt_tokens(&self) -> u32 {
        self.plan.prompt_tokens + self.delivered_tokens
    }

    pub(super) fn time_to_first_token(&self) -> Option<Duration> {
        self.first_token_at.map(|at| at - self.arrived_at)
    }

    /// Returns whether at least 95 % of the token gaps met the target.
    pub(super) fn meets_gap_target(&self) -> bool {
        let gaps = f64::from(self.delivered_tokens.saturating_sub(1));
        f64::from(self.late_gaps) <= gaps * MAX_LATE_GAP_FRACTION
    }
}

/// State of one attempt of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptState {
    pub(super) request: usize,
    pub(super) attempt: AttemptId,
    pub(super) server: usize,
    pub(super) is_active: bool,
}
