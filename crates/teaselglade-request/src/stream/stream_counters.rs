//! Counters of one stream.

use super::AttemptCause;

/// Counts the frames, attempts and recomputed tokens of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StreamCounters {
    /// Frames dropped because they carry the id of another request.
    pub misrouted_frames: u32,
    /// Frames dropped because they do not belong to the current attempt.
    pub stale_frames: u32,
    /// Frames dropped because their token or start was received before.
    pub duplicate_frames: u32,
    /// Frames dropped because an earlier token is missing or the token limit is reached.
    pub out_of_order_frames: u32,
    /// Attempts with a missing token, excess tokens, a wrong total or no end frame.
    pub truncated_attempts: u32,
    /// Attempts started, indexed by cause.
    pub attempts: [u32; AttemptCause::ALL.len()],
    /// Tokens computed again, indexed by the attempt's cause.
    pub recomputed: [u32; AttemptCause::ALL.len()],
}

impl StreamCounters {
    /// Returns the total of tokens that were computed again.
    #[must_use]
    pub fn recomputed_tokens(&self) -> u32 {
        self.recomputed.iter().sum()
    }

    /// Returns the number of attempts that replaced a failed or timed-out one.
    #[must_use]
    pub const fn retried_attempts(&self) -> u32 {
        self.attempts[AttemptCause::Fault as usize] + self.attempts[AttemptCause::Timeout as usize]
    }

    /// Returns the number of frames that were dropped.
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
