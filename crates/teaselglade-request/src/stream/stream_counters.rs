//! Counters of one stream.

use super::AttemptCause;

/// Counters of one stream; an adapter adds them up when the stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StreamCounters {
    /// Frames dropped because they carry another request's id.
    pub misrouted_frames: u32,
    /// Frames dropped because their attempt is not the present one.
    pub stale_frames: u32,
    /// Frames dropped because their token was delivered before.
    pub duplicate_frames: u32,
    /// Frames dropped because a token before theirs is missing.
    pub out_of_order_frames: u32,
    /// Streams that ended with another number of tokens than they brought, or without an end.
    pub truncated_attempts: u32,
    /// Attempts started, by cause.
    pub attempts: [u32; AttemptCause::ALL.len()],
    /// Tokens computed again, by cause.
    pub recomputed: [u32; AttemptCause::ALL.len()],
}

impl StreamCounters {
    /// Returns all tokens that were computed again.
    #[must_use]
    pub fn recomputed_tokens(&self) -> u32 {
        self.recomputed.iter().sum()
    }

    /// Returns the attempts that replaced one that failed or went silent.
    #[must_use]
    pub const fn retried_attempts(&self) -> u32 {
        self.attempts[AttemptCause::Fault as usize] + self.attempts[AttemptCause::Timeout as usize]
    }

    /// Returns all frames that were dropped.
    #[must_use]
    pub const fn dropped_frames(&self) -> u32 {
        self.misrouted_frames + self.stale_frames + self.duplicate_frames + self.out_of_order_frames
    }

    pub(super) const fn count_attempt(&mut self, cause: AttemptCause) {
        self.attempts[cause as usize] += 1;
    }

    pub(super) fn count_recomputed(&mut self, cause: AttemptCause, tokens: u32) {
        if cause != AttemptCause::First {
            self.recomputed[cause as usize] += tokens;
        }
    }
}
