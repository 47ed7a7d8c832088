//! Events of a stream's attempts, for the decision to move it.

use super::NextStep;

/// Role of one of the two attempts that a stream may have open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptRole {
    /// The attempt whose events the caller gets.
    Primary,
    /// A second attempt, started because the primary is silent.
    Standby,
}

/// Event of a stream's attempts, for the decision to move it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveEvent {
    /// The primary was silent until its stall deadline, or until the next check after it.
    SilenceLasted,
    /// A server was reserved for a standby.
    StandbyStarted,
    /// No server takes a standby, or no retry is left.
    StandbyDenied,
    /// The attempt brought an event that the caller does not have, or the stream's end.
    Progressed(AttemptRole),
    /// The attempt failed; the attempt tracker gave this next step.
    Failed(AttemptRole, NextStep),
    /// The request's deadline passed.
    DeadlinePassed,
}
