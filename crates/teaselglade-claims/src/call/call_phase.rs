//! State of one pending keyed call.

use teaselglade_core::time::Timestamp;

use super::KeyedCall;
use crate::record::ClaimRecord;

/// State of the append of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendState {
    /// The claim is queued in the outbox.
    Queued,
    /// The append is in flight or succeeded; the record was not read yet.
    Sent,
    /// The result of the append is unknown; a later read shows whether the claim was written.
    Unconfirmed {
        /// Number of the first read that can show it.
        read: u64,
    },
}

/// Phase of one pending keyed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// Waits for a read to the end of the shard before its claim is appended.
    CatchingUp,
    /// Waits until its claim is read back from the log.
    Claiming {
        /// The claim.
        record: ClaimRecord,
        /// Epoch of the view when the claim was queued or sent.
        epoch: u32,
        /// State of the append.
        append_state: AppendState,
    },
    /// The claim owns the key, and the call was dispatched to a backend server.
    Dispatching {
        /// The claim.
        record: ClaimRecord,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Waits for the outcome of another claim that holds the key.
    AwaitingOutcome,
}

/// One pending keyed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingCall {
    pub(crate) call: KeyedCall,
    pub(crate) phase: CallPhase,
    /// Time by which the claim must be read back and the call dispatched.
    pub(crate) claim_deadline: Timestamp,
    /// Time by which another claim's outcome must be read.
    pub(crate) outcome_deadline: Timestamp,
    /// Number of claims queued so far.
    pub(crate) claims: u32,
}

impl PendingCall {
    /// Returns the time at which the call is abandoned, if it waits for the log.
    pub(crate) const fn log_deadline(&self) -> Option<Timestamp> {
        match self.phase {
            CallPhase::CatchingUp | CallPhase::Claiming { .. } => Some(self.claim_deadline),
            CallPhase::AwaitingOutcome => Some(self.outcome_deadline),
            CallPhase::Dispatching { .. } => None,
        }
    }
}
