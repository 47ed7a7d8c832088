//! What becomes of bookings that wait for the log.

use teaselglade_core::time::Timestamp;

use super::{ShardMachine, refusals};
use crate::booking::{BookedCall, Booking, BookingKey, BookingPhase, ClaimSend};
use crate::key::KeyError;
use crate::record::ShardRecord;
use crate::view::KeyState;

const MAX_CLAIMS: u32 = 4;

impl ShardMachine {
    pub(super) fn on_booked(&mut self, now: Timestamp, key: BookingKey, call: BookedCall) {
        if let Err(error) = self.options.window.check(call.key.key, now) {
            self.refuse_key(key, &call, &error);
            return;
        }
        if now < self.out_until {
            self.refuse_unclaimed(key, &call);
            return;
        }
        let claim_by = call.deadline.min(now + self.options.claim_limit);
        let attach_by = call.deadline.min(now + self.options.attach_limit);
        let booking = Booking {
            call,
            phase: BookingPhase::CatchingUp,
            claim_by,
            attach_by,
            claims: 0,
        };
        if self.reading && self.at_end {
            self.decide(now, key, booking);
        } else {
            self.bookings.insert(key, booking);
        }
    }

    /// Gives up bookings whose time has come.
    pub(super) fn give_up_due(&mut self, now: Timestamp) {
        let is_due = |booking: &Booking| booking.due().is_some_and(|due| due <= now);
        let due = self.bookings.iter().filter(|(_, booking)| is_due(booking));
        for key in due.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.give_up(key);
        }
    }

    /// Leaves the log alone for a while and gives up what waits for it.
    pub(super) fn enter_outage(&mut self, now: Timestamp) {
        self.out_until = now + self.options.outage_pause;
        self.at_end = false;
        let waiting = self.bookings.iter().filter(|(_, b)| b.due().is_some());
        for key in waiting.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.give_up(key);
        }
    }

    pub(super) fn refuse_key(&mut self, key: BookingKey, call: &BookedCall, error: &KeyError) {
        self.answer(key, Err(refusals::key_fault(call, error)));
    }

    /// Decides what waits for the end of the shard.
    pub(super) fn decide_waiting(&mut self, now: Timestamp) {
        let waits = |phase: &BookingPhase| {
            matches!(phase, BookingPhase::CatchingUp | BookingPhase::Attached)
        };
        let waiting = self.bookings.iter().filter(|(_, b)| waits(&b.phase));
        for key in waiting.map(|(key, _)| *key).collect::<Vec<_>>() {
            if let Some(booking) = self.bookings.remove(&key) {
                self.decide(now, key, booking);
            }
        }
    }

    pub(super) fn attach(&mut self, now: Timestamp, key: BookingKey, mut booking: Booking) {
        booking.phase = BookingPhase::Attached;
        if booking.attach_by <= now {
            let pause = self.pause();
            self.answer(key, Err(refusals::undecided(pause)));
            return;
        }
        self.bookings.insert(key, booking);
    }

    /// Makes a fresh claim, with a new id, where time and tries are left.
    pub(super) fn claim_again(&mut self, now: Timestamp, key: BookingKey, mut booking: Booking) {
        if booking.claims >= MAX_CLAIMS || booking.claim_by <= now {
            self.refuse_unclaimed(key, &booking.call);
            return;
        }
        let record = self.new_claim(&booking.call);
        self.outbox.push(ShardRecord::Claim(record.clone()));
        booking.claims += 1;
        booking.phase = BookingPhase::Claiming {
            record,
            epoch: self.view.epoch(),
            send: ClaimSend::Queued,
        };
        self.bookings.insert(key, booking);
    }

    fn decide(&mut self, now: Timestamp, key: BookingKey, mut booking: Booking) {
        match self.view.state(&booking.call.key) {
            KeyState::Free => {
                if booking.phase == BookingPhase::Attached {
                    let limit = now + self.options.claim_limit;
                    booking.claim_by = booking.call.deadline.min(limit);
                }
                self.claim_again(now, key, booking);
            }
            KeyState::Held { digest, .. } if digest != booking.call.digest => {
                self.answer(key, Err(refusals::key_reused()));
            }
            KeyState::Held { since, .. } if now > since + self.options.stale_after => {
                let pause = self.pause();
                self.answer(key, Err(refusals::undecided(pause)));
            }
            KeyState::Held { .. } => self.attach(now, key, booking),
            KeyState::Done { digest, outcome } => {
                self.counters.replays += 1;
                let result = refusals::replay(&booking.call, digest, &outcome);
                self.answer(key, result);
            }
        }
    }

    fn give_up(&mut self, key: BookingKey) {
        let Some(booking) = self.bookings.remove(&key) else {
            return;
        };
        match &booking.phase {
            BookingPhase::CatchingUp => self.refuse_unclaimed(key, &booking.call),
            BookingPhase::Claiming { record, .. } => {
                self.withdraw(record);
                self.refuse_unclaimed(key, &booking.call);
            }
            BookingPhase::Attached => {
                let pause = self.pause();
                self.answer(key, Err(refusals::undecided(pause)));
            }
            BookingPhase::Dispatching { .. } => {
                self.bookings.insert(key, booking);
            }
        }
    }

    fn refuse_unclaimed(&mut self, key: BookingKey, call: &BookedCall) {
        self.counters.log_refusals += 1;
        let pause = self.pause();
        self.answer(key, Err(refusals::log_unavailable(call, pause)));
    }
}
