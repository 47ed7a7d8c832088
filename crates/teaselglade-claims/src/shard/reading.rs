//! Reads of the shard and the handling of their pages.

use std::time::Duration;

use teaselglade_core::port::{LogError, LogPage};
use teaselglade_core::time::Timestamp;

use super::{ShardAction, ShardMachine};
use crate::call::{AppendState, CallId, CallPhase};
use crate::key::KeyError;
use crate::record::ClaimId;
use crate::view::{ClaimResolution, ObservedClaim};

const MAX_READ_RECORDS: u32 = 1_000;

impl ShardMachine {
    pub(super) fn on_read(&mut self, now: Timestamp, result: Result<LogPage, LogError>) {
        self.is_reading = false;
        let Ok(page) = result else {
            self.enter_outage(now);
            return;
        };
        self.outage_until = Timestamp::ZERO;
        if let Some(search) = &mut self.offset_search {
            let Some(start) = search.on_page(&page) else {
                return;
            };
            self.offset_search = None;
            self.view.start_at(start);
            if page
                .records
                .first()
                .is_some_and(|record| record.offset != start)
            {
                return;
            }
        }
        let applied = self.view.apply_page(&page);
        self.is_caught_up = applied.reached_end;
        for observed in applied.claims {
            self.on_observed_claim(now, observed);
        }
        self.retry_unconfirmed_claims(now);
        if self.is_caught_up {
            self.decide_waiting(now);
        }
    }

    /// Starts a read if a call needs one and none is in flight.
    pub(super) fn read_if_needed(&mut self, now: Timestamp) {
        if self.is_reading || now < self.outage_until {
            return;
        }
        let phases = self.pending_calls.values().map(|pending| &pending.phase);
        let Some(mode) = phases.filter_map(read_mode).min() else {
            return;
        };
        // An idle shard may have new records since its last read, so calls wait for this read.
        self.is_caught_up &= mode == ReadMode::LongPoll;
        let wait = if self.is_caught_up {
            self.options.poll_timeout
        } else {
            Duration::ZERO
        };
        self.is_reading = true;
        self.counters.reads += 1;
        let action = match &self.offset_search {
            Some(search) => ShardAction::Read {
                from: search.probe_offset(),
                max_records: 1,
                wait: Duration::ZERO,
            },
            None => ShardAction::Read {
                from: self.view.next_offset(),
                max_records: MAX_READ_RECORDS,
                wait,
            },
        };
        self.actions.push(action);
    }

    fn on_observed_claim(&mut self, now: Timestamp, observed: ObservedClaim) {
        let Some(call_id) = self.find_claiming_call(observed.claim) else {
            return;
        };
        let Some(pending) = self.pending_calls.remove(&call_id) else {
            return;
        };
        let CallPhase::Claiming { record, epoch, .. } = &pending.phase else {
            return;
        };
        let record = record.clone();
        if *epoch != self.view.epoch() {
            self.withdraw(&record);
            self.queue_claim(now, call_id, pending);
            return;
        }
        match observed.resolution {
            ClaimResolution::Owner => self.dispatch(call_id, pending, record, 1),
            ClaimResolution::Conflict => self.await_outcome(now, call_id, pending),
            ClaimResolution::Settled => self.queue_claim(now, call_id, pending),
            ClaimResolution::TooOld => {
                self.refuse_invalid_key(call_id, &pending.call, &KeyError::Expired);
            }
            ClaimResolution::TooEarly => {
                self.refuse_invalid_key(call_id, &pending.call, &KeyError::TooFarAhead);
            }
        }
    }

    fn find_claiming_call(&self, claim: ClaimId) -> Option<CallId> {
        let holds = |phase: &CallPhase| matches!(phase, CallPhase::Claiming { record, .. } if record.claim == claim);
        let mut pending_calls = self.pending_calls.iter();
        let found = pending_calls.find(|(_, pending)| holds(&pending.phase));
        found.map(|(call_id, _)| *call_id)
    }

    /// Withdraws and replaces claims that a later full read did not show, or of an earlier epoch.
    fn retry_unconfirmed_claims(&mut self, now: Timestamp) {
        let epoch = self.view.epoch();
        let (is_caught_up, reads) = (self.is_caught_up, self.counters.reads);
        let is_unconfirmed = |phase: &CallPhase| match phase {
            CallPhase::Claiming {
                epoch: claim_epoch,
                append_state,
                ..
            } => match append_state {
                AppendState::Queued => false,
                AppendState::Sent => *claim_epoch != epoch,
                AppendState::Unconfirmed { read } => {
                    *claim_epoch != epoch || (is_caught_up && reads >= *read)
                }
            },
            _ => false,
        };
        let unconfirmed = self
            .pending_calls
            .iter()
            .filter(|(_, pending)| is_unconfirmed(&pending.phase));
        for call_id in unconfirmed.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            if let Some(pending) = self.pending_calls.remove(&call_id) {
                if let CallPhase::Claiming { record, .. } = &pending.phase {
                    self.withdraw(record);
                }
                self.queue_claim(now, call_id, pending);
            }
        }
    }
}

/// States how a read waits for records; the first mode that any call needs applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReadMode {
    Immediate,
    LongPoll,
}

const fn read_mode(phase: &CallPhase) -> Option<ReadMode> {
    match phase {
        CallPhase::CatchingUp => Some(ReadMode::Immediate),
        CallPhase::Claiming { append_state, .. } => match append_state {
            AppendState::Queued => None,
            AppendState::Sent => Some(ReadMode::LongPoll),
            AppendState::Unconfirmed { .. } => Some(ReadMode::Immediate),
        },
        CallPhase::AwaitingOutcome => Some(ReadMode::LongPoll),
        CallPhase::Dispatching { .. } => None,
    }
}
