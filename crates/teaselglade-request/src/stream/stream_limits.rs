//! Timeouts and limits of a stream.

use std::time::Duration;

/// Sets the timeouts and limits of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamLimits {
    /// Longest time from the start of an attempt to its first frame.
    pub start_timeout: Duration,
    /// Longest time from the first frame to the first token.
    pub first_token_timeout: Duration,
    /// Longest time between two tokens.
    pub progress_timeout: Duration,
    /// Shortest remaining notice, less `leave_margin`, in which a KV cache is moved.
    pub min_move_time: Duration,
    /// Longest wait for a KV cache after its attempt ended. An export may end the attempt.
    pub move_grace: Duration,
    /// Time reserved before the deadline of a leaving server.
    pub leave_margin: Duration,
    /// Delay before an accepted request is placed again after no server was found.
    pub placement_retry_delay: Duration,
    /// Longest time that an accepted request without a running attempt waits for a server.
    pub placement_timeout: Duration,
    /// Limit of retries of one request after faults and timeouts.
    pub max_retries: u32,
    /// How long a stream is kept after its caller disconnected or its response ended.
    pub caller_grace: Duration,
    /// Time reserved for the handover before the deadline of a leaving host.
    pub handover_time: Duration,
    /// Delay after which a refused caller should retry.
    pub retry_after: Duration,
}

impl Default for StreamLimits {
    fn default() -> Self {
        Self {
            start_timeout: Duration::from_secs(2),
            first_token_timeout: Duration::from_secs(4),
            progress_timeout: Duration::from_millis(1_500),
            min_move_time: Duration::from_millis(800),
            move_grace: Duration::from_millis(300),
            leave_margin: Duration::from_millis(200),
            placement_retry_delay: Duration::from_millis(250),
            placement_timeout: Duration::from_secs(5),
            max_retries: 4,
            caller_grace: Duration::from_secs(15),
            handover_time: Duration::from_secs(3),
            retry_after: Duration::from_secs(1),
        }
    }
}
