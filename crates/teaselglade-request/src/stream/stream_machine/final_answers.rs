//! Final answers and the verdict in them.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::{CallerState, StreamMachine, StreamPhase};
use crate::stream::StreamAction;

impl StreamMachine {
    /// Gives the caller its final answer without a result.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        reason: RefusalReason,
        detail: &str,
        retry_after: Option<Duration>,
    ) {
        let verdict = self.verdict();
        let retry_after = retry_after.unwrap_or(self.limits.retry_after);
        let refusal =
            RequestRefusal::with_verdict(verdict, reason, detail).retry_after(retry_after);
        self.cancel_attempt();
        self.plan = None;
        if matches!(self.caller, CallerState::Present { .. }) {
            let refusal = refusal.clone();
            self.actions.push(StreamAction::Refuse { refusal });
        }
        let until = now + self.limits.caller_grace;
        self.phase = StreamPhase::Refused { refusal, until };
    }

    /// Returns whether any attempt so far may have run.
    pub(super) fn verdict(&self) -> ExecutionVerdict {
        match self.attempt {
            Some(_) => self.settled.and(ExecutionVerdict::MayHaveRun),
            None => self.settled,
        }
    }

    /// Cancels the present attempt; nobody can know how far it got.
    pub(super) fn cancel_attempt(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.settled = self.settled.and(ExecutionVerdict::MayHaveRun);
        self.actions.push(StreamAction::Cancel {
            server: attempt.server,
            attempt: attempt.id,
        });
    }

    pub(super) fn end(&mut self) {
        self.plan = None;
        self.held.clear();
        self.phase = StreamPhase::Over;
        self.actions.push(StreamAction::Discard);
    }
}
