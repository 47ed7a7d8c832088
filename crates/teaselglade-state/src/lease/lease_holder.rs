//! Claims, renews and releases the lease for one process.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use teaselglade_core::port::LogPage;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::LeaseRecord;
use teaselglade_wire::codec::to_msgpack;

use super::rival_tracker::RivalTracker;
use super::{
    LeaseAction, LeaseChange, LeaseEvent, LeaseIdentity, LeaseNumber, LeaseReplica, LeaseTimings,
};

/// Maximum number of records in one read.
const MAX_PAGE_RECORDS: u32 = 256;

/// Number of records before the end of the stream at which a new process starts to read.
const TAIL_RECORDS: u64 = 64;

/// Read position of the process in the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamPosition {
    Unknown,
    Behind,
    CaughtUp,
}

/// Progress of the process's stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopStage {
    Running,
    Stopping,
    Released,
}

/// Holds a lease, or competes for it, on behalf of one process.
///
/// Only records read back from the log count. The response to an append merely triggers a read, so
/// a lost response is handled like any other.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::lease::{
///     LeaseAction, LeaseEvent, LeaseHolder, LeaseIdentity, LeaseTimings,
/// };
///
/// let identity = LeaseIdentity { host: "galway-e1".to_owned(), start: 5 };
/// let mut holder = LeaseHolder::new(identity, LeaseTimings::default(), 1);
/// let actions = holder.on_event(Timestamp::ZERO, LeaseEvent::Tick);
/// assert_eq!(actions, [LeaseAction::Read { from: 0, max_records: 1 }]);
/// assert_eq!(holder.active_number(Timestamp::ZERO), None);
/// ```
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    identity: LeaseIdentity,
    timings: LeaseTimings,
    random: Pcg64Mcg,
    replica: LeaseReplica,
    rivals: RivalTracker,
    /// Send time of each append that was not read back yet, by sequence number.
    unconfirmed: BTreeMap<u64, Timestamp>,
    sequence: u64,
    /// End of the time in which the process may act.
    valid_until: Timestamp,
    /// Number that the caller was last notified of.
    reported_number: Option<LeaseNumber>,
    takeover_jitter: Duration,
    position: StreamPosition,
    stage: StopStage,
    reading: bool,
    appending: bool,
    next_read: Timestamp,
    next_renewal: Timestamp,
}

impl LeaseHolder {
    /// Creates a holder without a lease; `seed` seeds the takeover jitter.
    #[must_use]
    pub fn new(identity: LeaseIdentity, timings: LeaseTimings, seed: u64) -> Self {
        let mut holder = Self {
            identity,
            timings,
            random: Pcg64Mcg::seed_from_u64(seed),
            replica: LeaseReplica::default(),
            rivals: RivalTracker::default(),
            unconfirmed: BTreeMap::new(),
            sequence: 0,
            valid_until: Timestamp::ZERO,
            reported_number: None,
            takeover_jitter: Duration::ZERO,
            position: StreamPosition::Unknown,
            stage: StopStage::Running,
            reading: false,
            appending: false,
            next_read: Timestamp::ZERO,
            next_renewal: Timestamp::ZERO,
        };
        holder.draw_jitter();
        holder
    }

    /// Returns the fencing number under which the process may act at `now`.
    ///
    /// Callers must check it again before every action, since the lease may have expired.
    #[must_use]
    pub fn active_number(&self, now: Timestamp) -> Option<LeaseNumber> {
        let held = self.replica.number_held_by(self.identity.start);
        held.filter(|_| now < self.valid_until && self.stage == StopStage::Running)
    }

    /// Returns the time until which the process may act.
    #[must_use]
    pub const fn valid_until(&self) -> Timestamp {
        self.valid_until
    }

    /// Returns whether a stopping process has released its lease.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.stage == StopStage::Released
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Timestamp, event: LeaseEvent) -> Vec<LeaseAction> {
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read(page) => self.apply_page(now, &page),
            LeaseEvent::ReadFailed => self.reading = false,
            LeaseEvent::Appended | LeaseEvent::AppendFailed => self.end_append(now),
            LeaseEvent::Stop => self.begin_stop(),
        }
        let mut actions = Vec::new();
        actions.extend(self.report_holding(now));
        actions.extend(self.next_append(now));
        actions.extend(self.next_read(now));
        actions
    }

    fn apply_page(&mut self, now: Timestamp, page: &LogPage) {
        self.reading = false;
        if self.position == StreamPosition::Unknown {
            self.skip_to_tail(now, page);
            return;
        }
        for change in self.replica.on_page(page) {
            self.record_change(now, &change);
        }
        self.update_position(now, page.end);
    }

    fn update_position(&mut self, now: Timestamp, end: u64) {
        if self.replica.next_offset() >= end {
            self.position = StreamPosition::CaughtUp;
            return;
        }
        self.position = StreamPosition::Behind;
        self.next_read = now;
    }

    fn begin_stop(&mut self) {
        if self.stage == StopStage::Running {
            self.stage = StopStage::Stopping;
        }
    }

    /// Skips to the tail of the stream; older records cannot affect the lease.
    fn skip_to_tail(&mut self, now: Timestamp, page: &LogPage) {
        let tail = page.end.saturating_sub(TAIL_RECORDS).max(page.first);
        self.replica.skip_to(tail);
        self.rivals.restart(now);
        self.update_position(now, page.end);
    }

    fn record_change(&mut self, now: Timestamp, change: &LeaseChange) {
        let own = self.identity.start;
        match change {
            LeaseChange::Granted {
                start, sequence, ..
            }
            | LeaseChange::Renewed { start, sequence }
                if *start == own =>
            {
                self.confirm(*sequence);
            }
            LeaseChange::Ineffective { start } if *start == own => self.unconfirmed.clear(),
            LeaseChange::Released { start } if *start == own => {}
            other => {
                self.rivals.record_change(now, other);
                self.draw_jitter();
            }
        }
    }

    fn confirm(&mut self, sequence: u64) {
        if let Some(sent_at) = self.unconfirmed.remove(&sequence) {
            let validity = self.timings.term.saturating_sub(self.timings.margin);
            self.valid_until = self.valid_until.max(sent_at + validity);
        }
        self.unconfirmed = self.unconfirmed.split_off(&sequence);
    }

    fn end_append(&mut self, now: Timestamp) {
        self.appending = false;
        self.next_read = now;
    }

    /// Returns the notifications of a lease that was gained or lost since the last call.
    fn report_holding(&mut self, now: Timestamp) -> Vec<LeaseAction> {
        let number = self.active_number(now);
        if number == self.reported_number {
            return Vec::new();
        }
        let lost = self.reported_number.map(LeaseAction::Lost);
        let gained = number.map(LeaseAction::Gained);
        self.reported_number = number;
        lost.into_iter().chain(gained).collect()
    }

    fn next_append(&mut self, now: Timestamp) -> Option<LeaseAction> {
        if self.appending || self.stage == StopStage::Released {
            return None;
        }
        let held = self.replica.number_held_by(self.identity.start);
        let record = match held {
            _ if self.stage == StopStage::Stopping => self.release(held)?,
            Some(number) if now >= self.next_renewal => self.renew(now, number),
            None if self.may_claim(now) => self.claim(now),
            _ => return None,
        };
        self.appending = true;
        to_msgpack(&record).ok().map(LeaseAction::Append)
    }

    fn may_claim(&mut self, now: Timestamp) -> bool {
        let wait = self.timings.takeover_wait + self.takeover_jitter;
        let is_unused = self.replica.next_offset() == 0;
        let is_free = is_unused || self.rivals.all_silent(now, wait);
        let is_current = self.position == StreamPosition::CaughtUp && !self.reading;
        is_free && is_current && now >= self.next_renewal
    }

    fn claim(&mut self, now: Timestamp) -> LeaseRecord {
        LeaseRecord::Grant {
            at: self.replica.next_offset(),
            holder: self.identity.host.clone(),
            sequence: self.next_sequence(now),
            start: self.identity.start,
        }
    }

    fn renew(&mut self, now: Timestamp, number: LeaseNumber) -> LeaseRecord {
        LeaseRecord::Renew {
            number: number.0,
            sequence: self.next_sequence(now),
            start: self.identity.start,
        }
    }

    fn release(&mut self, held: Option<LeaseNumber>) -> Option<LeaseRecord> {
        self.stage = StopStage::Released;
        let number = held?;
        Some(LeaseRecord::Release {
            number: number.0,
            start: self.identity.start,
        })
    }

    fn next_sequence(&mut self, now: Timestamp) -> u64 {
        self.sequence += 1;
        self.unconfirmed.insert(self.sequence, now);
        self.next_renewal = now + self.timings.renew_interval;
        self.sequence
    }

    fn next_read(&mut self, now: Timestamp) -> Option<LeaseAction> {
        let is_busy = self.reading || self.appending;
        if is_busy || self.stage == StopStage::Released || now < self.next_read {
            return None;
        }
        self.reading = true;
        self.unconfirmed
            .retain(|_, sent_at| now < *sent_at + self.timings.term);
        let interval = if self.unconfirmed.is_empty() {
            self.timings.read_interval
        } else {
            self.timings.resolve_interval
        };
        self.next_read = now + interval;
        let max_records = match self.position {
            StreamPosition::Unknown => 1,
            StreamPosition::Behind | StreamPosition::CaughtUp => MAX_PAGE_RECORDS,
        };
        Some(LeaseAction::Read {
            from: self.replica.next_offset(),
            max_records,
        })
    }

    fn draw_jitter(&mut self) {
        let max_micros = self.timings.takeover_jitter.as_micros() as u64;
        self.takeover_jitter = Duration::from_micros(self.random.random_range(0..=max_micros));
    }
}
