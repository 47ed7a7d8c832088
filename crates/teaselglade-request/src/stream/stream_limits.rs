//! Spans and limits of a stream.

use std::time::Duration;

/// Spans and limits of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamLimits {
    /// Longest time from a dispatch to its first frame.
    pub start_timeout: Duration,
    /// Longest time from the first frame to the first token.
    pub first_token_timeout: Duration,
    /// Longest time between two tokens.
    pub progress_timeout: Duration,
    /// Shortest notice in which a KV cache is moved.
    pub min_move_time: Duration,
    /// Longest wait for a KV cache whose attempt ended; an export may end it.
    pub move_grace: Duration,
    /// Time kept free before a server's deadline.
    pub leave_margin: Duration,
    /// Time between two placements of an accepted request that found no server.
    pub placement_retry_delay: Duration,
    /// Longest time that an accepted request without any attempt waits for a server.
    pub placement_timeout: Duration,
    /// Most retries of one request after faults.
    pub max_retries: u32,
    /// How long a stream outlives its caller's connection and its own end.
    pub caller_grace: Duration,
    /// Time kept for the handover before the host's deadline.
    pub handover_time: Duration,
    /// When a refused caller should come back.
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
