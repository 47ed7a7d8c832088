//! State of a shard's keys, built from its records in log order.

use std::collections::{BTreeMap, BTreeSet};

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;

use super::{AppliedPage, ClaimResolution, KeyState, ObservedClaim};
use crate::key::{KeyError, KeyWindow, ScopedKey};
use crate::record::{ClaimId, ClaimOutcome, ClaimRecord, SettleRecord, ShardRecord, decode_batch};

#[derive(Debug, Clone, Default)]
struct KeyEntry {
    state: KeyState,
    /// Claims that were settled as not run.
    withdrawn_claims: Vec<ClaimId>,
}

/// State of a shard's keys, built from its records in log order.
///
/// The same records give every reader the same state. A view that missed records because of the
/// log's retention starts a new epoch. A claim counts only if it was appended in the epoch in which
/// it is read, since otherwise an earlier record of its key could be missing.
///
/// # Examples
///
/// ```
/// use teaselglade_claims::key::{KeyWindow, ScopedKey};
/// use teaselglade_claims::view::{KeyState, ShardView};
///
/// let view = ShardView::new(KeyWindow::default());
/// let key = "0193a1b2-0000-7000-8000-000000000001".parse()?;
/// assert_eq!(view.state(&ScopedKey::new("corrib", "ticket-desk", key)), KeyState::Unclaimed);
/// assert!(!view.is_started());
/// # Ok::<(), teaselglade_claims::key::KeyError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ShardView {
    window: KeyWindow,
    next_offset: u64,
    epoch: u32,
    started: bool,
    log_time: Timestamp,
    malformed_records: u64,
    keys: BTreeMap<ScopedKey, KeyEntry>,
    keys_by_age: BTreeSet<(Timestamp, ScopedKey)>,
}

impl ShardView {
    /// Creates a view that has read no record.
    #[must_use]
    pub const fn new(window: KeyWindow) -> Self {
        Self {
            window,
            next_offset: 0,
            epoch: 0,
            started: false,
            log_time: Timestamp::ZERO,
            malformed_records: 0,
            keys: BTreeMap::new(),
            keys_by_age: BTreeSet::new(),
        }
    }

    /// Returns the offset to read next.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns how many times records were missed because of retention.
    #[must_use]
    pub const fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns whether a page was applied.
    #[must_use]
    pub const fn is_started(&self) -> bool {
        self.started
    }

    /// Returns how many records could not be decoded.
    #[must_use]
    pub const fn malformed_records(&self) -> u64 {
        self.malformed_records
    }

    /// Returns the number of keys in the view.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the view has no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the state of a key.
    #[must_use]
    pub fn state(&self, key: &ScopedKey) -> KeyState {
        let entry = self.keys.get(key);
        entry.map_or(KeyState::Unclaimed, |entry| entry.state.clone())
    }

    /// Sets the first offset to read, past records that are no longer relevant.
    pub const fn start_at(&mut self, offset: u64) {
        self.next_offset = offset;
    }

    /// Applies a page of records.
    pub fn apply_page(&mut self, page: &LogPage) -> AppliedPage {
        self.check_gap(page.first);
        self.started = true;
        let mut applied = AppliedPage::default();
        for record in &page.records {
            self.apply_record(record, &mut applied);
        }
        applied.reached_end = self.next_offset >= page.end;
        applied
    }

    fn check_gap(&mut self, first: u64) {
        if first <= self.next_offset {
            return;
        }
        if self.started {
            self.epoch += 1;
            self.keys.clear();
            self.keys_by_age.clear();
        }
        self.next_offset = first;
    }

    fn apply_record(&mut self, record: &LogRecord, applied: &mut AppliedPage) {
        if record.offset < self.next_offset {
            return;
        }
        self.check_gap(record.offset);
        self.next_offset = record.offset + 1;
        self.log_time = self.log_time.max(record.appended);
        self.discard_expired_keys();
        let Ok(entries) = decode_batch(&record.body) else {
            self.malformed_records += 1;
            return;
        };
        for entry in entries {
            match entry {
                ShardRecord::Claim(claim) => applied.claims.push(ObservedClaim {
                    claim: claim.claim,
                    resolution: self.apply_claim(&claim, record.appended),
                }),
                ShardRecord::Settle(settle) => self.apply_settle(settle, record.appended),
            }
        }
    }

    fn apply_claim(&mut self, record: &ClaimRecord, appended: Timestamp) -> ClaimResolution {
        match self.window.check(record.key.key, appended) {
            Err(KeyError::TooFarAhead) => return ClaimResolution::TooEarly,
            Err(_) => return ClaimResolution::TooOld,
            Ok(()) => {}
        }
        let entry = self.entry(&record.key);
        if entry.withdrawn_claims.contains(&record.claim) {
            return ClaimResolution::Settled;
        }
        match entry.state {
            KeyState::Unclaimed => {
                entry.state = KeyState::Claimed {
                    claim: record.claim,
                    digest: record.digest,
                    claimed_at: appended,
                };
                ClaimResolution::Owner
            }
            KeyState::Claimed { claim, .. } if claim == record.claim => ClaimResolution::Owner,
            KeyState::Claimed { .. } | KeyState::Settled { .. } => ClaimResolution::Conflict,
        }
    }

    fn apply_settle(&mut self, record: SettleRecord, appended: Timestamp) {
        if self.window.can_discard(record.key.key, appended) {
            return;
        }
        let entry = self.entry(&record.key);
        if record.outcome == ClaimOutcome::NotRun {
            entry.withdrawn_claims.push(record.claim);
            let is_owner =
                matches!(entry.state, KeyState::Claimed { claim, .. } if claim == record.claim);
            if is_owner {
                entry.state = KeyState::Unclaimed;
            }
        } else if !matches!(entry.state, KeyState::Settled { .. }) {
            entry.state = KeyState::Settled {
                digest: record.digest,
                outcome: record.outcome,
            };
        }
    }

    fn entry(&mut self, key: &ScopedKey) -> &mut KeyEntry {
        if !self.keys.contains_key(key) {
            self.keys_by_age.insert((key.key.created(), key.clone()));
        }
        self.keys.entry(key.clone()).or_default()
    }

    fn discard_expired_keys(&mut self) {
        while let Some((_, key)) = self.keys_by_age.first() {
            if !self.window.can_discard(key.key, self.log_time) {
                return;
            }
            self.keys.remove(key);
            self.keys_by_age.pop_first();
        }
    }
}
