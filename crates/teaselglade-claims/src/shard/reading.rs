//! Reads of the shard and what they bring.

use std::time::Duration;

use teaselglade_core::port::{LogError, LogPage};
use teaselglade_core::time::Timestamp;

use super::{ShardAction, ShardMachine};
use crate::booking::{BookingKey, BookingPhase, ClaimSend};
use crate::key::KeyError;
use crate::record::ClaimId;
use crate::view::{ClaimFate, ClaimSighting};

const MOST_RECORDS: u32 = 1_000;

impl ShardMachine {
    pub(super) fn on_read(&mut self, now: Timestamp, result: Result<LogPage, LogError>) {
        self.reading = false;
        let Ok(page) = result else {
            self.enter_outage(now);
            return;
        };
        self.out_until = Timestamp::ZERO;
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
        let news = self.view.apply_page(&page);
        self.at_end = news.reached_end;
        for sighting in news.sightings {
            self.on_sighting(now, sighting);
        }
        self.retry_lost_claims(now);
        if self.at_end {
            self.decide_waiting(now);
        }
    }

    /// Starts a read where a booking needs one and none is under way.
    pub(super) fn read_if_needed(&mut self, now: Timestamp) {
        if self.reading || now < self.out_until {
            return;
        }
        let phases = self.bookings.values().map(|booking| &booking.phase);
        let Some(waits) = phases.filter_map(read_wait).min() else {
            return;
        };
        // What an idle shard last read may be old; bookings wait for the end of this read.
        self.at_end &= waits == ReadWait::Poll;
        let wait = if self.at_end {
            self.options.poll_wait
        } else {
            Duration::ZERO
        };
        self.reading = true;
        self.counters.reads += 1;
        let action = match &self.seek {
            Some(seek) => ShardAction::Read {
                from: seek.probe(),
                most: 1,
                wait: Duration::ZERO,
            },
            None => ShardAction::Read {
                from: self.view.next(),
                most: MOST_RECORDS,
                wait,
            },
        };
        self.actions.push(action);
    }

    fn on_sighting(&mut self, now: Timestamp, sighting: ClaimSighting) {
        let Some(key) = self.claimer_of(sighting.claim) else {
            return;
        };
        let Some(booking) = self.bookings.remove(&key) else {
            return;
        };
        let BookingPhase::Claiming { record, epoch, .. } = &booking.phase else {
            return;
        };
        let record = record.clone();
        if *epoch != self.view.epoch() {
            self.withdraw(&record);
            self.claim_again(now, key, booking);
            return;
        }
        match sighting.fate {
            ClaimFate::Owner => self.dispatch(key, booking, record, 1),
            ClaimFate::Behind => self.attach(now, key, booking),
            ClaimFate::Settled => self.claim_again(now, key, booking),
            ClaimFate::TooOld => self.refuse_key(key, &booking.call, &KeyError::Expired),
            ClaimFate::TooEarly => self.refuse_key(key, &booking.call, &KeyError::TooFarAhead),
        }
    }

    fn claimer_of(&self, claim: ClaimId) -> Option<BookingKey> {
        let holds = |phase: &BookingPhase| matches!(phase, BookingPhase::Claiming { record, .. } if record.claim == claim);
        let mut bookings = self.bookings.iter();
        let found = bookings.find(|(_, booking)| holds(&booking.phase));
        found.map(|(key, _)| *key)
    }

    /// Withdraws claims that did not land by the end of a later read, or that outlived their epoch.
    fn retry_lost_claims(&mut self, now: Timestamp) {
        let epoch = self.view.epoch();
        let (at_end, reads) = (self.at_end, self.counters.reads);
        let is_lost = |phase: &BookingPhase| match phase {
            BookingPhase::Claiming {
                epoch: sent, send, ..
            } => match send {
                ClaimSend::Queued => false,
                ClaimSend::Sent => *sent != epoch,
                ClaimSend::Lost { read } => *sent != epoch || (at_end && reads >= *read),
            },
            _ => false,
        };
        let lost = self.bookings.iter().filter(|(_, b)| is_lost(&b.phase));
        for key in lost.map(|(key, _)| *key).collect::<Vec<_>>() {
            if let Some(booking) = self.bookings.remove(&key) {
                if let BookingPhase::Claiming { record, .. } = &booking.phase {
                    self.withdraw(record);
                }
                self.claim_again(now, key, booking);
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReadWait {
    Now,
    Poll,
}

const fn read_wait(phase: &BookingPhase) -> Option<ReadWait> {
    match phase {
        BookingPhase::CatchingUp => Some(ReadWait::Now),
        BookingPhase::Claiming { send, .. } => match send {
            ClaimSend::Queued => None,
            ClaimSend::Sent => Some(ReadWait::Poll),
            ClaimSend::Lost { .. } => Some(ReadWait::Now),
        },
        BookingPhase::Attached => Some(ReadWait::Poll),
        BookingPhase::Dispatching { .. } => None,
    }
}
