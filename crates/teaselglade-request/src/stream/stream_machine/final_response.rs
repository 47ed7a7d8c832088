//! Refusals, their verdict, and the end of a stream.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::ActiveAttempt;
use super::{CallerState, StreamMachine, StreamPhase};
use crate::stream::StreamAction;

impl StreamMachine {
    /// Ends the request with a refusal as its final response.
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
        if matches!(self.caller, CallerState::Connected { .. }) {
            let refusal = refusal.clone();
            self.actions.push(StreamAction::Refuse { refusal });
        }
        let until = now + self.limits.caller_grace;
        self.phase = StreamPhase::Refused { refusal, until };
    }

    /// Returns the verdict over all attempts so far, including the current one.
    pub(super) fn verdict(&self) -> ExecutionVerdict {
        match self.attempt {
            Some(_) => self.past_verdict.and(ExecutionVerdict::MayHaveRun),
            None => self.past_verdict,
        }
    }

    /// Cancels the current attempt and its fallback; it is unknown how far they ran.
    pub(super) fn cancel_attempt(&mut self) {
        let attempt = self.attempt.take();
        self.cancel(attempt);
        self.cancel_fallback();
    }

    pub(super) fn cancel_fallback(&mut self) {
        let fallback = self.fallback.take();
        self.cancel(fallback);
    }

    fn cancel(&mut self, attempt: Option<ActiveAttempt>) {
        let Some(attempt) = attempt else {
            return;
        };
        self.past_verdict = self.past_verdict.and(ExecutionVerdict::MayHaveRun);
        self.actions.push(StreamAction::Cancel {
            server: attempt.server,
            attempt: attempt.id,
        });
    }

    /// Ends the stream and lets the adapter discard the machine.
    pub(super) fn discard(&mut self) {
        self.plan = None;
        self.deferred_events.clear();
        self.phase = StreamPhase::Finished;
        self.actions.push(StreamAction::Discard);
    }
}
