//! The attempt whose frames a stream accepts.

use std::time::Duration;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::time::Timestamp;

use super::{AttemptCause, StreamLimits};

const LEAST_GAP_SAMPLES: u32 = 8;
const GAP_SAFETY_FACTOR: u32 = 2;

/// The attempt whose frames a stream accepts.
#[derive(Debug, Clone)]
pub(super) struct ActiveAttempt {
    pub(super) id: AttemptId,
    pub(super) server: ServerKey,
    pub(super) cause: AttemptCause,
    /// Whether the attempt goes to the silent server of the one before.
    pub(super) reconnected: bool,
    pub(super) started: bool,
    pub(super) tokens: u32,
    pub(super) leave_at: Option<Timestamp>,
    first_token: Timestamp,
    progress: Timestamp,
}

impl ActiveAttempt {
    pub(super) const fn new(
        id: AttemptId,
        server: ServerKey,
        cause: AttemptCause,
        now: Timestamp,
    ) -> Self {
        Self {
            id,
            server,
            cause,
            reconnected: false,
            started: false,
            tokens: 0,
            leave_at: None,
            first_token: now,
            progress: now,
        }
    }

    pub(super) const fn record_start(&mut self, now: Timestamp) {
        self.started = true;
        self.progress = now;
    }

    pub(super) const fn record_token(&mut self, now: Timestamp) {
        if self.tokens == 0 {
            self.first_token = now;
        }
        self.started = true;
        self.tokens += 1;
        self.progress = now;
    }

    pub(super) fn silent_at(&self, limits: &StreamLimits) -> Timestamp {
        let span = match (self.started, self.tokens) {
            (false, _) => limits.start_timeout,
            (true, 0) => limits.first_token_timeout,
            (true, _) => limits.progress_timeout,
        };
        self.progress + span
    }

    /// Returns a cautious estimate of the time that `tokens` more tokens take.
    pub(super) fn span_for(&self, tokens: u32) -> Option<Duration> {
        if self.tokens < LEAST_GAP_SAMPLES {
            return None;
        }
        let gap = (self.progress - self.first_token) / (self.tokens - 1);
        Some(gap.saturating_mul(tokens.saturating_mul(GAP_SAFETY_FACTOR)))
    }
}
