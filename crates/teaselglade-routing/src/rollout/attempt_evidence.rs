//! How an attempt at a server of a roll-out went.

use std::time::Duration;

/// How an attempt went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// The server answered, or sent the first event of a stream.
    Answered {
        /// Whether the answer is a failure or invalid.
        is_failure: bool,
        /// Time that it took, comparable between servers.
        latency: Duration,
    },
    /// The attempt was given up after this time without an answer.
    Overdue(Duration),
    /// The server broke the attempt off.
    Broken,
}
