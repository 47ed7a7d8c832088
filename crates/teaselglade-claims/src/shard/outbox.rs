//! Queue of entries to append to the log.

use std::collections::VecDeque;

use teaselglade_core::time::Timestamp;

use crate::key::KeyWindow;
use crate::record::{ClaimId, SettleRecord, ShardRecord};

const MAX_BATCH_ENTRIES: usize = 64;
const MAX_QUEUED_ENTRIES: usize = 1_024;

/// Queue of entries to append to the log, in the order in which they must be written.
#[derive(Debug, Clone, Default)]
pub(super) struct Outbox {
    queued: VecDeque<ShardRecord>,
    in_flight: Vec<ShardRecord>,
}

impl Outbox {
    pub(super) fn push(&mut self, entry: ShardRecord) {
        self.queued.push_back(entry);
    }

    /// Removes a claim from the queue and returns whether it was queued.
    pub(super) fn remove_queued_claim(&mut self, claim: ClaimId) -> bool {
        let before = self.queued.len();
        self.queued
            .retain(|entry| !matches!(entry, ShardRecord::Claim(record) if record.claim == claim));
        self.queued.len() < before
    }

    /// Moves the next batch from the queue to the append in flight.
    pub(super) fn take_batch(&mut self) -> &[ShardRecord] {
        let count = self.queued.len().min(MAX_BATCH_ENTRIES);
        self.in_flight = self.queued.drain(..count).collect();
        &self.in_flight
    }

    /// Ends the append in flight and returns its entries.
    pub(super) fn finish_append(&mut self) -> Vec<ShardRecord> {
        std::mem::take(&mut self.in_flight)
    }

    /// Requeues settle records ahead of queued entries; appending one twice has no effect.
    pub(super) fn requeue(&mut self, settles: Vec<SettleRecord>) {
        for record in settles.into_iter().rev() {
            self.queued.push_front(ShardRecord::Settle(record));
        }
    }

    /// Drops entries of expired keys and the oldest above the limit, and returns their number.
    pub(super) fn drop_stale(&mut self, window: KeyWindow, now: Timestamp) -> usize {
        let before = self.queued.len();
        self.queued
            .retain(|entry| !window.can_discard(entry.key().key, now));
        let excess = self.queued.len().saturating_sub(MAX_QUEUED_ENTRIES);
        self.queued.drain(..excess);
        before - self.queued.len()
    }

    pub(super) const fn is_appending(&self) -> bool {
        !self.in_flight.is_empty()
    }

    pub(super) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_empty()
    }
}
