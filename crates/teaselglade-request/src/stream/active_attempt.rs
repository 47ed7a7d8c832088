//! State of the attempt whose frames a stream accepts.

use std::time::Duration;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::time::Timestamp;

use super::{AttemptCause, StreamLimits};

/// Tokens that an estimate of the remaining time needs.
const MIN_TOKENS_FOR_ESTIMATE: u32 = 8;
/// Factor by which an estimate exceeds the mean gap between tokens.
const TOKEN_GAP_SAFETY_FACTOR: u32 = 2;

/// Tracks the attempt whose frames a stream accepts.
#[derive(Debug, Clone)]
pub(super) struct ActiveAttempt {
    pub(super) id: AttemptId,
    pub(super) server: ServerKey,
    pub(super) cause: AttemptCause,
    /// Whether the attempt calls the server on which the previous attempt timed out.
    pub(super) is_reconnect: bool,
    /// Whether any frame of the attempt arrived.
    pub(super) has_started: bool,
    pub(super) tokens: u32,
    /// When the attempt must be replaced if it still runs, since its server stops soon after.
    pub(super) leave_at: Option<Timestamp>,
    first_token_at: Timestamp,
    last_progress_at: Timestamp,
    /// From when the attempt counts as silent: its last progress, or the last denial of a retry.
    silent_since: Timestamp,
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
            is_reconnect: false,
            has_started: false,
            tokens: 0,
            leave_at: None,
            first_token_at: now,
            last_progress_at: now,
            silent_since: now,
        }
    }

    pub(super) const fn record_start(&mut self, now: Timestamp) {
        self.has_started = true;
        self.last_progress_at = now;
        self.silent_since = now;
    }

    pub(super) const fn record_token(&mut self, now: Timestamp) {
        if self.tokens == 0 {
            self.first_token_at = now;
        }
        self.has_started = true;
        self.tokens += 1;
        self.last_progress_at = now;
        self.silent_since = now;
    }

    /// Lets the attempt go on for another timeout, since nothing may replace it now.
    pub(super) const fn extend(&mut self, now: Timestamp) {
        self.silent_since = now;
    }

    /// Returns when the attempt times out unless another frame arrives.
    pub(super) fn times_out_at(&self, limits: &StreamLimits) -> Timestamp {
        let timeout = match (self.has_started, self.tokens) {
            (false, _) => limits.start_timeout,
            (true, 0) => limits.first_token_timeout,
            (true, _) => limits.progress_timeout,
        };
        self.silent_since + timeout
    }

    /// Returns an upper estimate of the time that `tokens` more tokens take.
    ///
    /// Returns `None` while too few tokens arrived for an estimate.
    pub(super) fn estimate_duration(&self, tokens: u32) -> Option<Duration> {
        if self.tokens < MIN_TOKENS_FOR_ESTIMATE {
            return None;
        }
        let gap = (self.last_progress_at - self.first_token_at) / (self.tokens - 1);
        Some(gap.saturating_mul(tokens.saturating_mul(TOKEN_GAP_SAFETY_FACTOR)))
    }
}
