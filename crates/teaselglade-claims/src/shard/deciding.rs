//! Decisions on calls that wait for the log.

use teaselglade_core::time::Timestamp;

use super::{ShardMachine, refusals};
use crate::call::{AppendState, CallId, CallPhase, KeyedCall, PendingCall};
use crate::key::KeyError;
use crate::record::ShardRecord;
use crate::view::KeyState;

const MAX_CLAIMS_PER_CALL: u32 = 4;

impl ShardMachine {
    pub(super) fn on_submitted(&mut self, now: Timestamp, call_id: CallId, call: KeyedCall) {
        if let Err(error) = self.options.window.check(call.key.key, now) {
            self.refuse_invalid_key(call_id, &call, &error);
            return;
        }
        if now < self.outage_until {
            self.refuse_unclaimed(call_id, &call);
            return;
        }
        let claim_deadline = call.deadline.min(now + self.options.claim_timeout);
        let outcome_deadline = call.deadline.min(now + self.options.outcome_timeout);
        let pending = PendingCall {
            call,
            phase: CallPhase::CatchingUp,
            claim_deadline,
            outcome_deadline,
            claims: 0,
        };
        if self.is_reading && self.is_caught_up {
            self.decide(now, call_id, pending);
        } else {
            self.pending_calls.insert(call_id, pending);
        }
    }

    /// Abandons calls whose deadline for the log has passed.
    pub(super) fn abandon_overdue(&mut self, now: Timestamp) {
        let is_overdue = |pending: &PendingCall| {
            pending
                .log_deadline()
                .is_some_and(|deadline| deadline <= now)
        };
        let overdue = self
            .pending_calls
            .iter()
            .filter(|(_, pending)| is_overdue(pending));
        for call_id in overdue.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            self.abandon(call_id);
        }
    }

    /// Pauses log access and abandons every call that waits for the log.
    pub(super) fn enter_outage(&mut self, now: Timestamp) {
        self.outage_until = now + self.options.outage_backoff;
        self.is_caught_up = false;
        let waiting = self
            .pending_calls
            .iter()
            .filter(|(_, pending)| pending.log_deadline().is_some());
        for call_id in waiting.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            self.abandon(call_id);
        }
    }

    pub(super) fn refuse_invalid_key(
        &mut self,
        call_id: CallId,
        call: &KeyedCall,
        error: &KeyError,
    ) {
        self.answer(call_id, Err(refusals::invalid_key(call, error)));
    }

    /// Decides the calls that waited for a read to the end of the shard.
    pub(super) fn decide_waiting(&mut self, now: Timestamp) {
        let waits =
            |phase: &CallPhase| matches!(phase, CallPhase::CatchingUp | CallPhase::AwaitingOutcome);
        let waiting = self
            .pending_calls
            .iter()
            .filter(|(_, pending)| waits(&pending.phase));
        for call_id in waiting.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            if let Some(pending) = self.pending_calls.remove(&call_id) {
                self.decide(now, call_id, pending);
            }
        }
    }

    pub(super) fn await_outcome(
        &mut self,
        now: Timestamp,
        call_id: CallId,
        mut pending: PendingCall,
    ) {
        pending.phase = CallPhase::AwaitingOutcome;
        if pending.outcome_deadline <= now {
            let retry_after = self.retry_delay();
            self.answer(call_id, Err(refusals::unsettled(retry_after)));
            return;
        }
        self.pending_calls.insert(call_id, pending);
    }

    /// Queues a claim with a new id, or refuses the call once its time or claims are used up.
    pub(super) fn queue_claim(
        &mut self,
        now: Timestamp,
        call_id: CallId,
        mut pending: PendingCall,
    ) {
        if pending.claims >= MAX_CLAIMS_PER_CALL || pending.claim_deadline <= now {
            self.refuse_unclaimed(call_id, &pending.call);
            return;
        }
        let record = self.new_claim(&pending.call);
        self.outbox.push(ShardRecord::Claim(record.clone()));
        pending.claims += 1;
        pending.phase = CallPhase::Claiming {
            record,
            epoch: self.view.epoch(),
            append_state: AppendState::Queued,
        };
        self.pending_calls.insert(call_id, pending);
    }

    fn decide(&mut self, now: Timestamp, call_id: CallId, mut pending: PendingCall) {
        match self.view.state(&pending.call.key) {
            KeyState::Unclaimed => {
                if pending.phase == CallPhase::AwaitingOutcome {
                    let limit = now + self.options.claim_timeout;
                    pending.claim_deadline = pending.call.deadline.min(limit);
                }
                self.queue_claim(now, call_id, pending);
            }
            KeyState::Claimed { digest, .. } if digest != pending.call.digest => {
                self.answer(call_id, Err(refusals::key_reused()));
            }
            KeyState::Claimed { claimed_at, .. }
                if now > claimed_at + self.options.stale_claim_age =>
            {
                let retry_after = self.retry_delay();
                self.answer(call_id, Err(refusals::unsettled(retry_after)));
            }
            KeyState::Claimed { .. } => self.await_outcome(now, call_id, pending),
            KeyState::Settled { digest, outcome } => {
                self.counters.replays += 1;
                let result = refusals::replay(&pending.call, digest, &outcome);
                self.answer(call_id, result);
            }
        }
    }

    fn abandon(&mut self, call_id: CallId) {
        let Some(pending) = self.pending_calls.remove(&call_id) else {
            return;
        };
        match &pending.phase {
            CallPhase::CatchingUp => self.refuse_unclaimed(call_id, &pending.call),
            CallPhase::Claiming { record, .. } => {
                self.withdraw(record);
                self.refuse_unclaimed(call_id, &pending.call);
            }
            CallPhase::AwaitingOutcome => {
                let retry_after = self.retry_delay();
                self.answer(call_id, Err(refusals::unsettled(retry_after)));
            }
            CallPhase::Dispatching { .. } => {
                self.pending_calls.insert(call_id, pending);
            }
        }
    }

    fn refuse_unclaimed(&mut self, call_id: CallId, call: &KeyedCall) {
        self.counters.log_refusals += 1;
        let retry_after = self.retry_delay();
        self.answer(call_id, Err(refusals::log_unavailable(call, retry_after)));
    }
}
