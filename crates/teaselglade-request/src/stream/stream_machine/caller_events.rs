//! Events of the caller's connection and of the handover to a peer.

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::{CallerState, StreamMachine, StreamPhase, attempt_number_base};
use crate::stream::{CallerSession, StreamAction, StreamRecord};

impl StreamMachine {
    pub(super) fn on_caller_disconnected(&mut self, now: Timestamp, session: CallerSession) {
        if self.caller == (CallerState::Connected { session }) {
            let until = now + self.limits.caller_grace;
            self.caller = CallerState::Disconnected { until };
            self.hasten_handover(now);
        }
    }

    pub(super) fn on_caller_resumed(
        &mut self,
        session: CallerSession,
        from: u32,
        copy_id: Option<u16>,
    ) {
        if self.phase == StreamPhase::Finished {
            let detail = "the answer is no longer kept";
            self.reject_resume(session, RefusalReason::UnknownRequest, detail);
            return;
        }
        if from as usize > self.delivered.len() {
            let detail = "the token before `Last-Event-ID` was never sent";
            self.reject_resume(session, RefusalReason::BadRequest, detail);
            return;
        }
        // Two copies may differ after their common tokens, so they must not be mixed.
        if copy_id.is_some_and(|copy_id| copy_id != self.copy_id)
            && from as usize > self.shared_tokens
        {
            let detail = "the copy of the answer that the caller has is lost";
            self.reject_resume(session, RefusalReason::UnknownRequest, detail);
            return;
        }
        self.caller = CallerState::Connected { session };
        let tokens = self.delivered.iter().zip(0_u32..).skip(from as usize);
        let deliveries = tokens.map(|(text, index)| StreamAction::Deliver {
            index,
            text: text.clone(),
        });
        self.actions.extend(deliveries);
        match self.phase.clone() {
            StreamPhase::Complete { total, .. } => self.finish_response(total),
            StreamPhase::Refused { refusal, .. } => {
                self.actions.push(StreamAction::Refuse { refusal });
            }
            _ => {}
        }
    }

    pub(super) fn on_host_stopping(&mut self, now: Timestamp, deadline: Option<Timestamp>) {
        let Some(deadline) = deadline else {
            return;
        };
        if self
            .host_deadline
            .is_some_and(|current| current <= deadline)
        {
            return;
        }
        self.host_deadline = Some(deadline);
        let offset = deadline - Timestamp::ZERO;
        let offset = offset.saturating_sub(self.limits.handover_time);
        self.handover_at = Some(Timestamp::ZERO + offset);
        self.hasten_handover(now);
    }

    /// Lets the handover of a complete response without a caller start at once.
    ///
    /// The host need not last as long for it as for an attempt in progress.
    pub(super) fn hasten_handover(&mut self, now: Timestamp) {
        let is_kept = matches!(self.phase, StreamPhase::Complete { .. })
            && matches!(self.caller, CallerState::Disconnected { .. });
        if is_kept {
            self.handover_at = self.handover_at.map(|at| at.min(now));
        }
    }

    /// Starts the handover if it is due, and returns whether it did.
    ///
    /// A complete response is handed over only while its caller is disconnected.
    pub(super) fn check_handover(&mut self, now: Timestamp) -> bool {
        if self.handover_at.is_none_or(|at| at > now) {
            return false;
        }
        let total = match self.phase {
            StreamPhase::Active => None,
            StreamPhase::Complete { total, .. } => Some(total),
            _ => return false,
        };
        if total.is_some() && matches!(self.caller, CallerState::Connected { .. }) {
            return false;
        }
        self.handover_at = None;
        self.phase = StreamPhase::HandingOver { total };
        let record = Box::new(self.record(total));
        self.actions.push(StreamAction::HandOver { record });
        true
    }

    pub(super) fn on_handover_done(&mut self) {
        if !matches!(self.phase, StreamPhase::HandingOver { .. }) {
            return;
        }
        self.cancel_attempt();
        self.actions.push(StreamAction::CloseCallerConnection);
        self.discard();
    }

    pub(super) fn on_handover_failed(&mut self, now: Timestamp, generation: u16) {
        let StreamPhase::HandingOver { total } = self.phase else {
            return;
        };
        self.generation = generation;
        self.last_attempt = self.last_attempt.max(attempt_number_base(generation));
        let until = now + self.limits.caller_grace;
        self.phase = match total {
            Some(total) => StreamPhase::Complete { total, until },
            None => StreamPhase::Active,
        };
        let next = now + self.limits.placement_retry_delay;
        self.handover_at = self.host_deadline.filter(|at| next < *at).map(|_| next);
        let deferred_events = std::mem::take(&mut self.deferred_events);
        for event in deferred_events {
            self.apply(now, event);
        }
    }

    fn record(&self, total: Option<u32>) -> StreamRecord {
        StreamRecord {
            request: self.request.clone(),
            delivered: self.delivered.clone(),
            total,
            generation: self.generation.saturating_add(1),
            retries: self.retries,
            server: None,
        }
    }

    fn reject_resume(&mut self, session: CallerSession, reason: RefusalReason, detail: &str) {
        let verdict = match self.phase {
            StreamPhase::Complete { .. } => ExecutionVerdict::Ran,
            _ => ExecutionVerdict::MayHaveRun,
        };
        let refusal = RequestRefusal::with_verdict(verdict, reason, detail);
        self.actions
            .push(StreamAction::RejectResume { session, refusal });
    }
}
