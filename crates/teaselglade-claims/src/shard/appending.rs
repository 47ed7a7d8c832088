//! Appends to the shard and the handling of their results.

use std::collections::BTreeMap;

use teaselglade_core::port::LogError;
use teaselglade_core::time::Timestamp;

use super::{ShardAction, ShardMachine};
use crate::call::{AppendState, CallId, CallPhase, PendingCall};
use crate::record::{ClaimId, ShardRecord, encode_batch};

impl ShardMachine {
    pub(super) fn on_appended(&mut self, now: Timestamp, result: Result<u64, LogError>) {
        let entries = self.outbox.finish_append();
        let Err(error) = result else {
            return;
        };
        let mut claims = Vec::new();
        let mut settles = Vec::new();
        for entry in entries {
            match entry {
                ShardRecord::Claim(record) => claims.push(record.claim),
                ShardRecord::Settle(record) => settles.push(record),
            }
        }
        self.outbox.requeue(settles);
        match error {
            LogError::Refused { .. } => {
                self.reset_refused_claims(&claims);
                self.enter_outage(now);
            }
            LogError::Unknown { .. } => {
                self.appends_paused_until = now + self.options.append_backoff;
                self.mark_unconfirmed(&claims);
            }
        }
    }

    pub(super) fn append_queued(&mut self, now: Timestamp) {
        if self.outbox.is_appending() || now < self.outage_until || now < self.appends_paused_until
        {
            return;
        }
        let dropped = self.outbox.drop_stale(self.options.window, now);
        self.counters.dropped_entries += dropped as u64;
        if !self.outbox.has_queued() {
            return;
        }
        let epoch = self.view.epoch();
        let batch = self.outbox.take_batch();
        let claims = batch.iter().filter_map(|entry| match entry {
            ShardRecord::Claim(record) => Some(record.claim),
            ShardRecord::Settle(_) => None,
        });
        let claims = claims.collect::<Vec<_>>();
        self.counters.appends += 1;
        self.counters.entries += batch.len() as u64;
        let body = encode_batch(batch).expect("every entry can be encoded");
        mark_sent(&mut self.pending_calls, &claims, epoch);
        self.actions.push(ShardAction::Append { body });
    }

    /// Moves calls whose claims were refused back to `CatchingUp`; these need no withdrawal.
    fn reset_refused_claims(&mut self, claims: &[ClaimId]) {
        for pending in self.pending_calls.values_mut() {
            let is_refused = matches!(&pending.phase,
                CallPhase::Claiming { record, .. } if claims.contains(&record.claim));
            if is_refused {
                pending.phase = CallPhase::CatchingUp;
            }
        }
    }

    fn mark_unconfirmed(&mut self, claims: &[ClaimId]) {
        let next_read = self.counters.reads + 1;
        for pending in self.pending_calls.values_mut() {
            if let CallPhase::Claiming {
                record,
                append_state,
                ..
            } = &mut pending.phase
                && claims.contains(&record.claim)
            {
                *append_state = AppendState::Unconfirmed { read: next_read };
            }
        }
    }
}

fn mark_sent(
    pending_calls: &mut BTreeMap<CallId, PendingCall>,
    claims: &[ClaimId],
    current_epoch: u32,
) {
    for pending in pending_calls.values_mut() {
        if let CallPhase::Claiming {
            record,
            epoch,
            append_state,
        } = &mut pending.phase
            && claims.contains(&record.claim)
        {
            *epoch = current_epoch;
            *append_state = AppendState::Sent;
        }
    }
}
