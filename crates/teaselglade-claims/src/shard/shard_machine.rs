//! State machine of one host's keyed calls in one shard.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64;
use teaselglade_core::port::{AttemptError, PlainAnswer};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::ExecutionVerdict;

use super::offset_search::OffsetSearch;
use super::outbox::Outbox;
use super::{ClaimCounters, ClaimOptions, ShardAction, ShardEvent, refusals};
use crate::call::{CallAnswer, CallId, CallPhase, CallResult, KeyedCall, PendingCall};
use crate::record::{ClaimId, ClaimOutcome, ClaimRecord, ShardRecord};
use crate::view::ShardView;

const MAX_ATTEMPTS: u32 = 3;

/// State machine of one host's keyed calls in one shard of the claims log.
///
/// Only the machine that appended a claim dispatches and settles it; no other host takes it over.
/// A claim is either dispatched or withdrawn; it is withdrawn after a dispatch only if the
/// attempts are known not to have run.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_claims::call::{CallId, KeyedCall};
/// use teaselglade_claims::key::{RequestDigest, ScopedKey};
/// use teaselglade_claims::shard::{ClaimOptions, ShardAction, ShardEvent, ShardMachine};
///
/// let key = "0193a1b2-0000-7000-8000-000000000001".parse()?;
/// let key = ScopedKey::new("corrib", "ticket-desk", key);
/// let now = key.key.created();
/// let call = KeyedCall {
///     key,
///     digest: RequestDigest::of("POST", "/tickets", b"ring"),
///     is_retry: false,
///     deadline: now + Duration::from_secs(5),
/// };
/// let mut machine = ShardMachine::new(ClaimOptions::default(), [7; 32]);
/// let call_id = CallId::new(0);
/// let actions = machine.on_event(now, ShardEvent::Submitted { call_id, call });
/// assert!(matches!(
///     actions[0],
///     ShardAction::Read { from: 0, max_records: 1, wait: Duration::ZERO }
/// ));
/// # Ok::<(), teaselglade_claims::key::KeyError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ShardMachine {
    pub(super) options: ClaimOptions,
    pub(super) view: ShardView,
    /// Search for the offset to start at; `None` once it is found.
    pub(super) offset_search: Option<OffsetSearch>,
    pub(super) pending_calls: BTreeMap<CallId, PendingCall>,
    pub(super) outbox: Outbox,
    pub(super) counters: ClaimCounters,
    pub(super) actions: Vec<ShardAction>,
    /// Whether a read is in flight.
    pub(super) is_reading: bool,
    /// Whether the last read reached the end of the shard.
    pub(super) is_caught_up: bool,
    /// Time until which all log access is paused.
    pub(super) outage_until: Timestamp,
    /// Time until which appends are paused.
    pub(super) appends_paused_until: Timestamp,
    wake_at: Option<Timestamp>,
    random: Pcg64,
}

impl ShardMachine {
    /// Creates a machine; `seed` must be random, because claim ids derive from it.
    #[must_use]
    pub fn new(options: ClaimOptions, seed: [u8; 32]) -> Self {
        Self {
            options,
            view: ShardView::new(options.window),
            offset_search: Some(OffsetSearch::new(
                options.window.min_retention(),
                options.max_scan_records,
            )),
            pending_calls: BTreeMap::new(),
            outbox: Outbox::default(),
            counters: ClaimCounters::default(),
            actions: Vec::new(),
            is_reading: false,
            is_caught_up: false,
            outage_until: Timestamp::ZERO,
            appends_paused_until: Timestamp::ZERO,
            wake_at: None,
            random: Pcg64::from_seed(seed),
        }
    }

    /// Returns the machine's counters.
    #[must_use]
    pub const fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Returns the view of the shard.
    #[must_use]
    pub const fn view(&self) -> &ShardView {
        &self.view
    }

    /// Returns whether the machine can be dropped: drained, with no read in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.is_drained() && !self.is_reading
    }

    /// Returns whether no call is pending and no entry is left to append.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.pending_calls.is_empty() && self.outbox.is_empty()
    }

    /// Handles an event and returns the actions to perform.
    pub fn on_event(&mut self, now: Timestamp, event: ShardEvent) -> Vec<ShardAction> {
        self.abandon_overdue(now);
        match event {
            ShardEvent::Submitted { call_id, call } => self.on_submitted(now, call_id, call),
            ShardEvent::Read(result) => self.on_read(now, result),
            ShardEvent::Appended(result) => self.on_appended(now, result),
            ShardEvent::Attempted {
                call_id,
                result,
                may_retry,
            } => self.on_attempted(now, call_id, result, may_retry),
            ShardEvent::Woken => self.wake_at = None,
        }
        self.append_queued(now);
        self.read_if_needed(now);
        self.schedule_wake(now);
        std::mem::take(&mut self.actions)
    }

    pub(super) fn answer(&mut self, call_id: CallId, result: CallResult) {
        self.actions.push(ShardAction::Answer { call_id, result });
    }

    pub(super) fn retry_delay(&mut self) -> Duration {
        let base = self.options.outage_backoff;
        base + base.mul_f64(self.random.random::<f64>())
    }

    pub(super) fn new_claim(&mut self, call: &KeyedCall) -> ClaimRecord {
        ClaimRecord {
            key: call.key.clone(),
            claim: ClaimId::from_bits(self.random.random()),
            digest: call.digest,
        }
    }

    /// Settles a claim as not run; it must not be dispatched afterwards.
    pub(super) fn withdraw(&mut self, record: &ClaimRecord) {
        if self.outbox.remove_queued_claim(record.claim) {
            return;
        }
        self.counters.withdrawals += 1;
        self.settle(record, ClaimOutcome::NotRun);
    }

    fn settle(&mut self, record: &ClaimRecord, outcome: ClaimOutcome) {
        let entry = ShardRecord::Settle(record.settle(outcome));
        self.outbox.push(entry);
    }

    fn on_attempted(
        &mut self,
        now: Timestamp,
        call_id: CallId,
        result: Result<PlainAnswer, AttemptError>,
        may_retry: bool,
    ) {
        let Some(pending) = self.pending_calls.remove(&call_id) else {
            return;
        };
        let CallPhase::Dispatching { record, attempt } = &pending.phase else {
            self.pending_calls.insert(call_id, pending);
            return;
        };
        let error = match result {
            Ok(answer) => {
                self.settle(record, ClaimOutcome::from_answer(&answer));
                self.answer(call_id, Ok(direct_answer(answer)));
                return;
            }
            Err(error) => error,
        };
        let verdict = ExecutionVerdict::after_attempt(error.progress);
        if verdict != ExecutionVerdict::NotRun {
            self.settle(record, ClaimOutcome::MayHaveRun);
            let refusal = refusals::attempt_failed(verdict, error.detail);
            self.answer(call_id, Err(refusal));
            return;
        }
        if may_retry && *attempt < MAX_ATTEMPTS && now < pending.claim_deadline {
            let (record, attempt) = (record.clone(), *attempt + 1);
            self.dispatch(call_id, pending, record, attempt);
            return;
        }
        self.withdraw(record);
        let refusal = refusals::attempt_failed(verdict, error.detail);
        let retry_after = self.retry_delay();
        self.answer(call_id, Err(refusal.retry_after(retry_after)));
    }

    pub(super) fn dispatch(
        &mut self,
        id: CallId,
        mut pending: PendingCall,
        record: ClaimRecord,
        attempt: u32,
    ) {
        pending.phase = CallPhase::Dispatching { record, attempt };
        self.pending_calls.insert(id, pending);
        self.counters.dispatches += 1;
        let call_id = id;
        self.actions
            .push(ShardAction::Dispatch { call_id, attempt });
    }

    fn schedule_wake(&mut self, now: Timestamp) {
        let deadline = self
            .pending_calls
            .values()
            .filter_map(PendingCall::log_deadline)
            .min();
        let flush = (self.outbox.has_queued() && !self.outbox.is_appending())
            .then(|| self.outage_until.max(self.appends_paused_until));
        let wake_at = deadline
            .into_iter()
            .chain(flush)
            .filter(|at| *at > now)
            .min();
        if let Some(at) = wake_at
            && self.wake_at != wake_at
        {
            self.actions.push(ShardAction::WakeAt(at));
        }
        self.wake_at = wake_at;
    }
}

fn direct_answer(answer: PlainAnswer) -> CallAnswer {
    CallAnswer {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        replayed: false,
    }
}
