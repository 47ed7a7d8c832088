//! Frames, failures and silence of the present attempt.

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, SendProgress};

use super::{CallerState, StreamMachine, StreamPhase};
use crate::stream::attempt_plan::LostAttempt;
use crate::stream::{AttemptCause, StreamAction};

impl StreamMachine {
    pub(super) fn on_frame(&mut self, now: Timestamp, frame: EngineEvent) {
        if !self.is_present_attempt(attempt_of(&frame)) {
            return;
        }
        match frame {
            EngineEvent::Started {
                computed_tokens, ..
            } => self.on_started(now, computed_tokens),
            EngineEvent::Token { index, text, .. } => self.on_token(now, index, text),
            EngineEvent::End { total, .. } => self.on_end(now, total),
        }
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        error: &AttemptError,
    ) {
        let Some(attempt) = self.attempt.take_if(|attempt| attempt.id == id) else {
            return;
        };
        // An attempt that sent frames ran, whatever its error claims.
        let progress = if attempt.started {
            SendProgress::MaybeSent
        } else {
            error.progress
        };
        let verdict = ExecutionVerdict::after_attempt(progress);
        self.settled = self.settled.and(verdict);
        let cause = self.loss_cause(attempt.server, AttemptCause::Fault);
        self.failed.push(attempt.server);
        self.replace_attempt(now, cause, LostAttempt::at(attempt.server));
    }

    pub(super) fn on_attempt_closed(&mut self, now: Timestamp, id: AttemptId) {
        if self.attempt.as_ref().is_none_or(|attempt| attempt.id != id) {
            return;
        }
        if self.plan.is_none() {
            self.counters.truncated_attempts += 1;
        }
        let error = AttemptError::new(SendProgress::MaybeSent, "closed without an end");
        self.on_attempt_failed(now, id, &error);
    }

    /// Finds out whether the present attempt has gone silent or must leave its server.
    pub(super) fn check_attempt(&mut self, now: Timestamp) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if attempt.leave_at.is_some_and(|at| at <= now) {
            self.leave_server(now);
            return;
        }
        if attempt.silent_at(&self.limits) <= now {
            self.on_silence(now);
        }
    }

    fn on_silence(&mut self, now: Timestamp) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let server = attempt.server;
        let is_leaving = self.is_leaving(server);
        // A new connection to the same server comes first, since its cache holds the prefix.
        let same_server = (attempt.started && !is_leaving).then_some(server);
        let same_server = same_server.filter(|_| !attempt.reconnected || attempt.tokens > 0);
        let is_cheap = same_server.is_some() && attempt.tokens > 0;
        if same_server.is_none() {
            self.failed.push(server);
        }
        self.cancel_attempt();
        let cause = self.loss_cause(server, AttemptCause::Timeout);
        let lost = LostAttempt {
            server,
            same_server,
            is_cheap,
        };
        self.replace_attempt(now, cause, lost);
    }

    /// Returns `otherwise` unless the lost attempt's server had announced its departure.
    fn loss_cause(&self, server: ServerKey, otherwise: AttemptCause) -> AttemptCause {
        if self.is_leaving(server) {
            return AttemptCause::Reclaim;
        }
        otherwise
    }

    fn is_present_attempt(&mut self, id: AttemptId) -> bool {
        if id.request != self.request.id {
            self.counters.misrouted_frames += 1;
            return false;
        }
        let is_present = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.id == id);
        if !is_present {
            self.counters.stale_frames += 1;
        }
        is_present
    }

    fn on_started(&mut self, now: Timestamp, computed_tokens: u32) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.started {
            self.counters.duplicate_frames += 1;
            return;
        }
        attempt.record_start(now);
        let cause = attempt.cause;
        self.counters.count_recomputed(cause, computed_tokens);
    }

    fn on_token(&mut self, now: Timestamp, index: u32, text: String) {
        let next = self.delivered.len() as u32;
        if index < next {
            self.counters.duplicate_frames += 1;
            return;
        }
        if index > next || next >= self.request.max_tokens {
            self.counters.out_of_order_frames += 1;
            self.cut_attempt(now);
            return;
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.record_token(now);
        }
        if matches!(self.caller, CallerState::Present { .. }) {
            let text = text.clone();
            self.actions.push(StreamAction::Deliver { index, text });
        }
        self.delivered.push(text);
    }

    fn on_end(&mut self, now: Timestamp, total: u32) {
        if total != self.delivered.len() as u32 {
            self.cut_attempt(now);
            return;
        }
        self.attempt = None;
        self.plan = None;
        self.settled = ExecutionVerdict::Ran;
        let until = now + self.limits.caller_grace;
        self.phase = StreamPhase::Whole { total, until };
        if matches!(self.caller, CallerState::Present { .. }) {
            self.finish(total);
        }
    }

    pub(super) fn finish(&mut self, total: u32) {
        self.actions.push(StreamAction::Finish {
            total,
            recomputed: self.counters.recomputed_tokens(),
        });
    }

    /// Gives up an attempt whose stream lost tokens.
    fn cut_attempt(&mut self, now: Timestamp) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        self.counters.truncated_attempts += 1;
        let cause = self.loss_cause(attempt.server, AttemptCause::Fault);
        let server = attempt.server;
        self.failed.push(server);
        self.cancel_attempt();
        self.replace_attempt(now, cause, LostAttempt::at(server));
    }
}

const fn attempt_of(frame: &EngineEvent) -> AttemptId {
    match frame {
        EngineEvent::Started { attempt, .. }
        | EngineEvent::Token { attempt, .. }
        | EngineEvent::End { attempt, .. } => *attempt,
    }
}
