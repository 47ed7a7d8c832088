//! State machine of one host's bookings of one shard.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64;
use teaselglade_core::port::{AttemptError, PlainAnswer};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::ExecutionVerdict;

use super::outbox::Outbox;
use super::shard_seek::ShardSeek;
use super::{ClaimCounters, ClaimOptions, ShardAction, ShardEvent, refusals};
use crate::booking::{BookedCall, Booking, BookingAnswer, BookingKey, BookingPhase, BookingResult};
use crate::record::{ClaimId, ClaimOutcome, ClaimRecord, ShardRecord};
use crate::view::ShardView;

const MAX_ATTEMPTS: u32 = 3;

/// State machine of one host's bookings of one shard.
///
/// The right to dispatch a claim lies in this machine alone: nobody else settles or takes over
/// the claim. A claim is either dispatched or withdrawn, never one after the other unless the
/// attempt is known not to have run.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_claims::booking::{BookedCall, BookingKey};
/// use teaselglade_claims::key::{RequestDigest, ScopedKey};
/// use teaselglade_claims::shard::{ClaimOptions, ShardAction, ShardEvent, ShardMachine};
///
/// let key = "0193a1b2-0000-7000-8000-000000000001".parse()?;
/// let key = ScopedKey::new("corrib", "ticket-desk", key);
/// let now = key.key.created();
/// let call = BookedCall {
///     key,
///     digest: RequestDigest::of("POST", "/tickets", b"ring"),
///     repeated: false,
///     deadline: now + Duration::from_secs(5),
/// };
/// let mut machine = ShardMachine::new(ClaimOptions::default(), [7; 32]);
/// let booking = BookingKey::new(0);
/// let actions = machine.on_event(now, ShardEvent::Booked { booking, call });
/// assert!(matches!(actions[0], ShardAction::Read { from: 0, most: 1, wait: Duration::ZERO }));
/// # Ok::<(), teaselglade_claims::key::KeyError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ShardMachine {
    pub(super) options: ClaimOptions,
    pub(super) view: ShardView,
    /// Search for the place to start at, before the first page.
    pub(super) seek: Option<ShardSeek>,
    pub(super) bookings: BTreeMap<BookingKey, Booking>,
    pub(super) outbox: Outbox,
    pub(super) counters: ClaimCounters,
    pub(super) actions: Vec<ShardAction>,
    /// Whether a read is under way.
    pub(super) reading: bool,
    /// Whether the last read reached the end of the shard.
    pub(super) at_end: bool,
    /// Time until which the log is left alone.
    pub(super) out_until: Timestamp,
    /// Time until which appends pause.
    pub(super) append_from: Timestamp,
    wake: Option<Timestamp>,
    random: Pcg64,
}

impl ShardMachine {
    /// Makes a machine; `seed` must be random, for claim ids come from it.
    #[must_use]
    pub fn new(options: ClaimOptions, seed: [u8; 32]) -> Self {
        Self {
            options,
            view: ShardView::new(options.window),
            seek: Some(ShardSeek::new(
                options.window.min_retention(),
                options.short_shard,
            )),
            bookings: BTreeMap::new(),
            outbox: Outbox::default(),
            counters: ClaimCounters::default(),
            actions: Vec::new(),
            reading: false,
            at_end: false,
            out_until: Timestamp::ZERO,
            append_from: Timestamp::ZERO,
            wake: None,
            random: Pcg64::from_seed(seed),
        }
    }

    /// Returns what the machine did so far.
    #[must_use]
    pub const fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Returns the view of the shard.
    #[must_use]
    pub const fn view(&self) -> &ShardView {
        &self.view
    }

    /// Returns whether nothing is under way; the machine may then be dropped.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.is_settled() && !self.reading
    }

    /// Returns whether no booking and no record to append is under way.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.bookings.is_empty() && self.outbox.is_empty()
    }

    /// Takes in an event and returns what is to be done.
    pub fn on_event(&mut self, now: Timestamp, event: ShardEvent) -> Vec<ShardAction> {
        self.give_up_due(now);
        match event {
            ShardEvent::Booked { booking, call } => self.on_booked(now, booking, call),
            ShardEvent::Read(result) => self.on_read(now, result),
            ShardEvent::Appended(result) => self.on_appended(now, result),
            ShardEvent::Attempted {
                booking,
                result,
                may_retry,
            } => self.on_attempted(now, booking, result, may_retry),
            ShardEvent::Woken => self.wake = None,
        }
        self.append_queued(now);
        self.read_if_needed(now);
        self.wake_when_due(now);
        std::mem::take(&mut self.actions)
    }

    pub(super) fn answer(&mut self, booking: BookingKey, result: BookingResult) {
        self.actions.push(ShardAction::Answer { booking, result });
    }

    pub(super) fn pause(&mut self) -> Duration {
        let base = self.options.outage_pause;
        base + base.mul_f64(self.random.random::<f64>())
    }

    pub(super) fn new_claim(&mut self, call: &BookedCall) -> ClaimRecord {
        ClaimRecord {
            key: call.key.clone(),
            claim: ClaimId::from_bits(self.random.random()),
            digest: call.digest,
        }
    }

    /// Settles a claim as not run; it must not be dispatched afterwards.
    pub(super) fn withdraw(&mut self, record: &ClaimRecord) {
        if self.outbox.recall(record.claim) {
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
        key: BookingKey,
        result: Result<PlainAnswer, AttemptError>,
        may_retry: bool,
    ) {
        let Some(booking) = self.bookings.remove(&key) else {
            return;
        };
        let BookingPhase::Dispatching { record, attempt } = &booking.phase else {
            self.bookings.insert(key, booking);
            return;
        };
        let error = match result {
            Ok(answer) => {
                self.settle(record, ClaimOutcome::of_answer(&answer));
                self.answer(key, Ok(first_hand(answer)));
                return;
            }
            Err(error) => error,
        };
        let verdict = ExecutionVerdict::after_attempt(error.progress);
        if verdict != ExecutionVerdict::NotRun {
            self.settle(record, ClaimOutcome::MayHaveRun);
            let refusal = refusals::attempt_failed(verdict, error.detail);
            self.answer(key, Err(refusal));
            return;
        }
        if may_retry && *attempt < MAX_ATTEMPTS && now < booking.claim_by {
            let (record, attempt) = (record.clone(), *attempt + 1);
            self.dispatch(key, booking, record, attempt);
            return;
        }
        self.withdraw(record);
        let refusal = refusals::attempt_failed(verdict, error.detail);
        let pause = self.pause();
        self.answer(key, Err(refusal.retry_after(pause)));
    }

    pub(super) fn dispatch(
        &mut self,
        key: BookingKey,
        mut booking: Booking,
        record: ClaimRecord,
        attempt: u32,
    ) {
        booking.phase = BookingPhase::Dispatching { record, attempt };
        self.bookings.insert(key, booking);
        self.counters.dispatches += 1;
        let booking = key;
        self.actions
            .push(ShardAction::Dispatch { booking, attempt });
    }

    fn wake_when_due(&mut self, now: Timestamp) {
        let due = self.bookings.values().filter_map(Booking::due).min();
        let flush = (self.outbox.has_queued() && !self.outbox.is_appending())
            .then(|| self.out_until.max(self.append_from));
        let wake = due.into_iter().chain(flush).filter(|at| *at > now).min();
        if let Some(at) = wake
            && self.wake != wake
        {
            self.actions.push(ShardAction::WakeAt(at));
        }
        self.wake = wake;
    }
}

fn first_hand(answer: PlainAnswer) -> BookingAnswer {
    BookingAnswer {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        replayed: false,
    }
}
