//! What becomes of bookings that wait for the log.

use teaselglade_core::time::Timestamp;

use super::{ShardMachine, refusals};
use crate::call::{AppendState, CallId, CallPhase, KeyedCall, PendingCall};
use crate::key::KeyError;
use crate::record::ShardRecord;
use crate::view::KeyState;

const MAX_CLAIMS: u32 = 4;

impl ShardMachine {
    pub(super) fn on_submitted(&mut self, now: Timestamp, call_id: CallId, call: KeyedCall) {
        if let Err(error) = self.options.window.check(call.key.key, now) {
            self.refuse_key(call_id, &call, &error);
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
        if self.reading && self.is_caught_up {
            self.decide(now, call_id, pending);
        } else {
            self.pending_calls.insert(call_id, pending);
        }
    }

    /// Gives up bookings whose time has come.
    pub(super) fn give_up_due(&mut self, now: Timestamp) {
        let is_due = |pending: &PendingCall| pending.due().is_some_and(|due| due <= now);
        let due = self
            .pending_calls
            .iter()
            .filter(|(_, pending)| is_due(pending));
        for call_id in due.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            self.give_up(call_id);
        }
    }

    /// Leaves the log alone for a while and gives up what waits for it.
    pub(super) fn enter_outage(&mut self, now: Timestamp) {
        self.outage_until = now + self.options.outage_backoff;
        self.is_caught_up = false;
        let waiting = self.pending_calls.iter().filter(|(_, b)| b.due().is_some());
        for call_id in waiting.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            self.give_up(call_id);
        }
    }

    pub(super) fn refuse_key(&mut self, call_id: CallId, call: &KeyedCall, error: &KeyError) {
        self.answer(call_id, Err(refusals::key_fault(call, error)));
    }

    /// Decides what waits for the end of the shard.
    pub(super) fn decide_waiting(&mut self, now: Timestamp) {
        let waits =
            |phase: &CallPhase| matches!(phase, CallPhase::CatchingUp | CallPhase::AwaitingOutcome);
        let waiting = self.pending_calls.iter().filter(|(_, b)| waits(&b.phase));
        for call_id in waiting.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            if let Some(pending) = self.pending_calls.remove(&call_id) {
                self.decide(now, call_id, pending);
            }
        }
    }

    pub(super) fn attach(&mut self, now: Timestamp, call_id: CallId, mut pending: PendingCall) {
        pending.phase = CallPhase::AwaitingOutcome;
        if pending.outcome_deadline <= now {
            let pause = self.pause();
            self.answer(call_id, Err(refusals::undecided(pause)));
            return;
        }
        self.pending_calls.insert(call_id, pending);
    }

    /// Makes a fresh claim, with a new id, where time and tries are left.
    pub(super) fn claim_again(
        &mut self,
        now: Timestamp,
        call_id: CallId,
        mut pending: PendingCall,
    ) {
        if pending.claims >= MAX_CLAIMS || pending.claim_deadline <= now {
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
                self.claim_again(now, call_id, pending);
            }
            KeyState::Claimed { digest, .. } if digest != pending.call.digest => {
                self.answer(call_id, Err(refusals::key_reused()));
            }
            KeyState::Claimed { claimed_at, .. }
                if now > claimed_at + self.options.stale_claim_age =>
            {
                let pause = self.pause();
                self.answer(call_id, Err(refusals::undecided(pause)));
            }
            KeyState::Claimed { .. } => self.attach(now, call_id, pending),
            KeyState::Settled { digest, outcome } => {
                self.counters.replays += 1;
                let result = refusals::replay(&pending.call, digest, &outcome);
                self.answer(call_id, result);
            }
        }
    }

    fn give_up(&mut self, call_id: CallId) {
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
                let pause = self.pause();
                self.answer(call_id, Err(refusals::undecided(pause)));
            }
            CallPhase::Dispatching { .. } => {
                self.pending_calls.insert(call_id, pending);
            }
        }
    }

    fn refuse_unclaimed(&mut self, call_id: CallId, call: &KeyedCall) {
        self.counters.log_refusals += 1;
        let pause = self.pause();
        self.answer(call_id, Err(refusals::log_unavailable(call, pause)));
    }
}
