//! Reads of the shard and what they bring.

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
        self.reading = false;
        let Ok(page) = result else {
            self.enter_outage(now);
            return;
        };
        self.outage_until = Timestamp::ZERO;
        if let Some(seek) = &mut self.seek {
            let Some(start) = seek.on_page(&page) else {
                return;
            };
            self.seek = None;
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
        self.retry_lost_claims(now);
        if self.is_caught_up {
            self.decide_waiting(now);
        }
    }

    /// Starts a read where a booking needs one and none is under way.
    pub(super) fn read_if_needed(&mut self, now: Timestamp) {
        if self.reading || now < self.outage_until {
            return;
        }
        let phases = self.pending_calls.values().map(|pending| &pending.phase);
        let Some(waits) = phases.filter_map(read_wait).min() else {
            return;
        };
        // What an idle shard last read may be old; bookings wait for the end of this read.
        self.is_caught_up &= waits == ReadWait::Poll;
        let wait = if self.is_caught_up {
            self.options.poll_timeout
        } else {
            Duration::ZERO
        };
        self.reading = true;
        self.counters.reads += 1;
        let action = match &self.seek {
            Some(seek) => ShardAction::Read {
                from: seek.probe(),
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
        let Some(call_id) = self.claimer_of(observed.claim) else {
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
            self.claim_again(now, call_id, pending);
            return;
        }
        match observed.resolution {
            ClaimResolution::Owner => self.dispatch(call_id, pending, record, 1),
            ClaimResolution::Conflict => self.attach(now, call_id, pending),
            ClaimResolution::Settled => self.claim_again(now, call_id, pending),
            ClaimResolution::TooOld => self.refuse_key(call_id, &pending.call, &KeyError::Expired),
            ClaimResolution::TooEarly => {
                self.refuse_key(call_id, &pending.call, &KeyError::TooFarAhead)
            }
        }
    }

    fn claimer_of(&self, claim: ClaimId) -> Option<CallId> {
        let holds = |phase: &CallPhase| matches!(phase, CallPhase::Claiming { record, .. } if record.claim == claim);
        let mut pending_calls = self.pending_calls.iter();
        let found = pending_calls.find(|(_, pending)| holds(&pending.phase));
        found.map(|(call_id, _)| *call_id)
    }

    /// Withdraws claims that did not land by the end of a later read, or that outlived their epoch.
    fn retry_lost_claims(&mut self, now: Timestamp) {
        let epoch = self.view.epoch();
        let (is_caught_up, reads) = (self.is_caught_up, self.counters.reads);
        let is_lost = |phase: &CallPhase| match phase {
            CallPhase::Claiming {
                epoch: sent,
                append_state,
                ..
            } => match append_state {
                AppendState::Queued => false,
                AppendState::Sent => *sent != epoch,
                AppendState::Unconfirmed { read } => {
                    *sent != epoch || (is_caught_up && reads >= *read)
                }
            },
            _ => false,
        };
        let lost = self.pending_calls.iter().filter(|(_, b)| is_lost(&b.phase));
        for call_id in lost.map(|(call_id, _)| *call_id).collect::<Vec<_>>() {
            if let Some(pending) = self.pending_calls.remove(&call_id) {
                if let CallPhase::Claiming { record, .. } = &pending.phase {
                    self.withdraw(record);
                }
                self.claim_again(now, call_id, pending);
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReadWait {
    Now,
    Poll,
}

const fn read_wait(phase: &CallPhase) -> Option<ReadWait> {
    match phase {
        CallPhase::CatchingUp => Some(ReadWait::Now),
        CallPhase::Claiming { append_state, .. } => match append_state {
            AppendState::Queued => None,
            AppendState::Sent => Some(ReadWait::Poll),
            AppendState::Unconfirmed { .. } => Some(ReadWait::Now),
        },
        CallPhase::AwaitingOutcome => Some(ReadWait::Poll),
        CallPhase::Dispatching { .. } => None,
    }
}
