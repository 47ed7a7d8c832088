//! Frames, failures and timeouts of the current attempt.

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, SendProgress};

use super::{CallerState, StreamMachine, StreamPhase};
use crate::stream::attempt_plan::LostAttempt;
use crate::stream::{AttemptCause, StreamAction};

impl StreamMachine {
    pub(super) fn on_frame(&mut self, now: Timestamp, frame: EngineEvent) {
        self.settle_fallback(attempt_of(&frame));
        if !self.accept_frame_of(attempt_of(&frame)) {
            return;
        }
        self.withdraw_replacement();
        match frame {
            EngineEvent::Started {
                computed_tokens, ..
            } => self.on_started(now, computed_tokens),
            EngineEvent::Token { index, text, .. } => self.on_token(now, index, text),
            EngineEvent::End { total, .. } => self.on_end(now, total),
        }
    }

    /// Keeps that one of a silent attempt and its replacement which sends a frame first.
    fn settle_fallback(&mut self, id: AttemptId) {
        if self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.id == id)
        {
            self.cancel_fallback();
        } else if let Some(fallback) = self.fallback.take_if(|fallback| fallback.id == id) {
            self.cancel_attempt();
            self.attempt = Some(fallback);
        }
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        error: &AttemptError,
    ) {
        if self
            .fallback
            .take_if(|fallback| fallback.id == id)
            .is_some()
        {
            self.past_verdict = self.past_verdict.and(ExecutionVerdict::MayHaveRun);
            return;
        }
        let Some(attempt) = self.attempt.take_if(|attempt| attempt.id == id) else {
            return;
        };
        // An attempt that sent frames has run, even if its error says otherwise.
        let progress = if attempt.has_started {
            SendProgress::MaybeSent
        } else {
            error.progress
        };
        let verdict = ExecutionVerdict::after_attempt(progress);
        self.past_verdict = self.past_verdict.and(verdict);
        let cause = self.cause_of_loss(attempt.server, AttemptCause::Fault);
        self.failed_servers.push(attempt.server);
        let lost = LostAttempt::without_reconnect(attempt.server);
        self.attempt = self.fallback.take();
        if self.attempt.is_some() {
            // The silent attempt goes on; it is still to be replaced.
            self.replace_attempt(now, AttemptCause::Timeout, lost);
            return;
        }
        self.replace_attempt(now, cause, lost);
    }

    pub(super) fn on_attempt_closed(&mut self, now: Timestamp, id: AttemptId) {
        let mut attempts = self.attempt.iter().chain(&self.fallback);
        if attempts.all(|attempt| attempt.id != id) {
            return;
        }
        if self.plan.is_none() {
            self.counters.truncated_attempts += 1;
        }
        let error = AttemptError::new(SendProgress::MaybeSent, "closed without an end");
        self.on_attempt_failed(now, id, &error);
    }

    /// Replaces the current attempt if it timed out or its server is about to stop.
    pub(super) fn check_attempt(&mut self, now: Timestamp) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if attempt.leave_at.is_some_and(|at| at <= now) {
            self.leave_server(now);
            return;
        }
        if !self.is_replacing_silent() && attempt.times_out_at(&self.limits) <= now {
            self.on_timeout(now);
        }
    }

    /// Returns whether the next attempt is planned because the current one is silent.
    pub(super) fn is_replacing_silent(&self) -> bool {
        let plan = self.plan.as_ref();
        self.attempt.is_some() && plan.is_some_and(|plan| plan.cause == AttemptCause::Timeout)
    }

    /// Drops the plan to replace an attempt that was only slow.
    ///
    /// The plan stays if the server is leaving, as it takes the attempt away from there.
    fn withdraw_replacement(&mut self) {
        let server = self.server();
        if self.is_replacing_silent() && !server.is_some_and(|server| self.is_leaving(server)) {
            self.plan = None;
        }
    }

    fn on_timeout(&mut self, now: Timestamp) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let server = attempt.server;
        let is_leaving = self.is_leaving(server);
        // A new connection to the same server is tried first, since that server caches the prefix.
        let reconnect_to = (attempt.has_started && !is_leaving).then_some(server);
        let reconnect_to = reconnect_to.filter(|_| !attempt.is_reconnect || attempt.tokens > 0);
        let is_prefix_cached = reconnect_to.is_some() && attempt.tokens > 0;
        if reconnect_to.is_none() {
            self.failed_servers.push(server);
        }
        let cause = self.cause_of_loss(server, AttemptCause::Timeout);
        // Silence does not prove that the attempt is lost, so it goes on until another one starts.
        if cause != AttemptCause::Timeout {
            self.cancel_attempt();
        }
        let lost = LostAttempt {
            server,
            reconnect_to,
            is_prefix_cached,
        };
        self.replace_attempt(now, cause, lost);
    }

    /// Returns `Reclaim` if the server had announced its departure, otherwise `default_cause`.
    fn cause_of_loss(&self, server: ServerKey, default_cause: AttemptCause) -> AttemptCause {
        if self.is_leaving(server) {
            return AttemptCause::Reclaim;
        }
        default_cause
    }

    /// Returns whether a frame belongs to the current attempt, and counts it as dropped if not.
    fn accept_frame_of(&mut self, id: AttemptId) -> bool {
        if id.request != self.request.id {
            self.counters.misrouted_frames += 1;
            return false;
        }
        let is_current = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.id == id);
        if !is_current {
            self.counters.stale_frames += 1;
        }
        is_current
    }

    fn on_started(&mut self, now: Timestamp, computed_tokens: u32) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.has_started {
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
            self.abandon_attempt(now);
            return;
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.record_token(now);
        }
        if matches!(self.caller, CallerState::Connected { .. }) {
            let text = text.clone();
            self.actions.push(StreamAction::Deliver { index, text });
        }
        self.delivered.push(text);
    }

    fn on_end(&mut self, now: Timestamp, total: u32) {
        if total != self.delivered.len() as u32 {
            self.abandon_attempt(now);
            return;
        }
        self.attempt = None;
        self.plan = None;
        self.past_verdict = ExecutionVerdict::Ran;
        let until = now + self.limits.caller_grace;
        self.phase = StreamPhase::Complete { total, until };
        if matches!(self.caller, CallerState::Connected { .. }) {
            self.finish_response(total);
        }
        self.hasten_handover(now);
    }

    pub(super) fn finish_response(&mut self, total: u32) {
        self.actions.push(StreamAction::Finish {
            total,
            recomputed: self.counters.recomputed_tokens(),
        });
    }

    /// Cancels and replaces an attempt whose frames are not consistent.
    fn abandon_attempt(&mut self, now: Timestamp) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        self.counters.truncated_attempts += 1;
        let cause = self.cause_of_loss(attempt.server, AttemptCause::Fault);
        let server = attempt.server;
        self.failed_servers.push(server);
        self.cancel_attempt();
        self.replace_attempt(now, cause, LostAttempt::without_reconnect(server));
    }
}

const fn attempt_of(frame: &EngineEvent) -> AttemptId {
    match frame {
        EngineEvent::Started { attempt, .. }
        | EngineEvent::Token { attempt, .. }
        | EngineEvent::End { attempt, .. } => *attempt,
    }
}
