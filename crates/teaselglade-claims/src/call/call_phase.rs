//! State of one booking.

use teaselglade_core::time::Timestamp;

use super::KeyedCall;
use crate::record::ClaimRecord;

/// How far the append of a claim got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendState {
    /// The claim waits for an append.
    Queued,
    /// The append is under way or its answer was lost; the record may still land.
    Sent,
    /// The answer was lost; a read with at least this number tells whether it landed.
    Unconfirmed {
        /// Number of the read.
        read: u64,
    },
}

/// State of one booking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// The shard is read to its end before a claim is appended.
    CatchingUp,
    /// The claim is on its way into the log.
    Claiming {
        /// The claim.
        record: ClaimRecord,
        /// Epoch of the view in which it was made.
        epoch: u32,
        /// How far its append got.
        append_state: AppendState,
    },
    /// The claim owns the key, and the call is at a backend server.
    Dispatching {
        /// The claim.
        record: ClaimRecord,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Another claim holds the key.
    AwaitingOutcome,
}

/// One booking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingCall {
    pub(crate) call: KeyedCall,
    pub(crate) phase: CallPhase,
    /// Time by which the claim must be seen and the call dispatched.
    pub(crate) claim_deadline: Timestamp,
    /// Time by which another claim's outcome must be seen.
    pub(crate) outcome_deadline: Timestamp,
    /// Claims made so far.
    pub(crate) claims: u32,
}

impl PendingCall {
    /// Returns when the booking has to be given up, where it waits for the log.
    pub(crate) const fn due(&self) -> Option<Timestamp> {
        match self.phase {
            CallPhase::CatchingUp | CallPhase::Claiming { .. } => Some(self.claim_deadline),
            CallPhase::AwaitingOutcome => Some(self.outcome_deadline),
            CallPhase::Dispatching { .. } => None,
        }
    }
}
