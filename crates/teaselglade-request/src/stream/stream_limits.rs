//! Spans and limits of a stream.

use std::time::Duration;

/// Spans and limits of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamLimits {
    /// Longest time from a dispatch to its first frame.
    pub start_span: Duration,
    /// Longest time from the first frame to the first token.
    pub first_token_span: Duration,
    /// Longest time between two tokens.
    pub progress_span: Duration,
    /// Shortest notice in which a KV cache is moved.
    pub least_move_span: Duration,
    /// Longest wait for a KV cache whose attempt ended; an export may end it.
    pub move_patience: Duration,
    /// Time kept free before a server's deadline.
    pub leave_margin: Duration,
    /// Time between two placements of an accepted request that found no server.
    pub place_pause: Duration,
    /// Longest time that an accepted request without any attempt waits for a server.
    pub place_patience: Duration,
    /// Most retries of one request after faults.
    pub most_retries: u32,
    /// How long a stream outlives its caller's connection and its own end.
    pub caller_grace: Duration,
    /// Time kept for the handover before the host's deadline.
    pub handover_span: Duration,
    /// When a refused caller should come back.
    pub come_back: Duration,
}

impl Default for StreamLimits {
    fn default() -> Self {
        Self {
            start_span: Duration::from_secs(2),
            first_token_span: Duration::from_secs(4),
            progress_span: Duration::from_millis(1_500),
            least_move_span: Duration::from_millis(800),
            move_patience: Duration::from_millis(300),
            leave_margin: Duration::from_millis(200),
            place_pause: Duration::from_millis(250),
            place_patience: Duration::from_secs(5),
            most_retries: 4,
            caller_grace: Duration::from_secs(15),
            handover_span: Duration::from_secs(3),
            come_back: Duration::from_secs(1),
        }
    }
}
