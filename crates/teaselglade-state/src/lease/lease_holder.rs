//! Claims, renews and gives up the lease for one process.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use teaselglade_core::port::LogPage;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::LeaseRecord;
use teaselglade_wire::codec::to_msgpack;

use super::rival_watch::RivalWatch;
use super::{
    LeaseAction, LeaseChange, LeaseEvent, LeaseIdentity, LeaseNumber, LeaseReplica, LeaseTimings,
};

/// Most records of one read.
const PAGE_RECORDS: u32 = 256;

/// Records before the end that a fresh process reads.
const TAIL_RECORDS: u64 = 64;

/// How far the process has read the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamPosition {
    Unknown,
    Behind,
    CaughtUp,
}

/// How far the process's stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopStage {
    Running,
    Stopping,
    Released,
}

/// Holder of a lease, or rival for it, in one process.
///
/// Only what was read from the log counts: the answer to an append says nothing but that it is
/// time to read. A lost answer is therefore resolved like any other.
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
    terms: LeaseTimings,
    random: Pcg64Mcg,
    replica: LeaseReplica,
    rivals: RivalWatch,
    /// Time before each append that is not read back yet.
    sent: BTreeMap<u64, Timestamp>,
    sequence: u64,
    /// End of the time in which the holder may act.
    until: Timestamp,
    gained: Option<LeaseNumber>,
    jitter: Duration,
    position: StreamPosition,
    stage: StopStage,
    reading: bool,
    appending: bool,
    next_read: Timestamp,
    next_renewal: Timestamp,
}

impl LeaseHolder {
    /// Makes a holder without a lease; `seed` feeds its jitter.
    #[must_use]
    pub fn new(identity: LeaseIdentity, terms: LeaseTimings, seed: u64) -> Self {
        let mut holder = Self {
            identity,
            terms,
            random: Pcg64Mcg::seed_from_u64(seed),
            replica: LeaseReplica::default(),
            rivals: RivalWatch::default(),
            sent: BTreeMap::new(),
            sequence: 0,
            until: Timestamp::ZERO,
            gained: None,
            jitter: Duration::ZERO,
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
    /// Must be asked anew before every action.
    #[must_use]
    pub fn active_number(&self, now: Timestamp) -> Option<LeaseNumber> {
        let held = self.replica.number_held_by(self.identity.start);
        held.filter(|_| now < self.until && self.stage == StopStage::Running)
    }

    /// Returns the end of the time in which the process may act.
    #[must_use]
    pub const fn valid_until(&self) -> Timestamp {
        self.until
    }

    /// Returns whether a stopped process has given up its lease.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.stage == StopStage::Released
    }

    /// Takes an event and returns what to do.
    pub fn on_event(&mut self, now: Timestamp, event: LeaseEvent) -> Vec<LeaseAction> {
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read(page) => self.note_page(now, &page),
            LeaseEvent::ReadFailed => self.reading = false,
            LeaseEvent::Appended | LeaseEvent::AppendFailed => self.note_append_end(now),
            LeaseEvent::Stop => self.note_stop(),
        }
        let mut actions = Vec::new();
        actions.extend(self.note_holding(now));
        actions.extend(self.next_append(now));
        actions.extend(self.next_read(now));
        actions
    }

    fn note_page(&mut self, now: Timestamp, page: &LogPage) {
        self.reading = false;
        if self.position == StreamPosition::Unknown {
            self.locate(now, page);
            return;
        }
        for change in self.replica.on_page(page) {
            self.note_change(now, &change);
        }
        self.note_position(now, page.end);
    }

    fn note_position(&mut self, now: Timestamp, end: u64) {
        if self.replica.next_offset() >= end {
            self.position = StreamPosition::CaughtUp;
            return;
        }
        self.position = StreamPosition::Behind;
        self.next_read = now;
    }

    fn note_stop(&mut self) {
        if self.stage == StopStage::Running {
            self.stage = StopStage::Stopping;
        }
    }

    /// Finds where the tail of the stream begins; older records cannot matter.
    fn locate(&mut self, now: Timestamp, page: &LogPage) {
        let tail = page.end.saturating_sub(TAIL_RECORDS).max(page.first);
        self.replica.skip_to(tail);
        self.rivals.begin(now);
        self.note_position(now, page.end);
    }

    fn note_change(&mut self, now: Timestamp, change: &LeaseChange) {
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
            LeaseChange::Ineffective { start } if *start == own => self.sent.clear(),
            LeaseChange::Released { start } if *start == own => {}
            other => {
                self.rivals.hear(now, other);
                self.draw_jitter();
            }
        }
    }

    fn confirm(&mut self, sequence: u64) {
        if let Some(sent) = self.sent.remove(&sequence) {
            let span = self.terms.term.saturating_sub(self.terms.margin);
            self.until = self.until.max(sent + span);
        }
        self.sent = self.sent.split_off(&sequence);
    }

    fn note_append_end(&mut self, now: Timestamp) {
        self.appending = false;
        self.next_read = now;
    }

    fn note_holding(&mut self, now: Timestamp) -> Vec<LeaseAction> {
        let number = self.active_number(now);
        if number == self.gained {
            return Vec::new();
        }
        let lost = self.gained.map(LeaseAction::Lost);
        let gained = number.map(LeaseAction::Gained);
        self.gained = number;
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
        let wait = self.terms.takeover_wait + self.jitter;
        let is_first = self.replica.next_offset() == 0;
        let is_free = is_first || self.rivals.all_silent(now, wait);
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
        self.sent.insert(self.sequence, now);
        self.next_renewal = now + self.terms.renew_interval;
        self.sequence
    }

    fn next_read(&mut self, now: Timestamp) -> Option<LeaseAction> {
        let is_busy = self.reading || self.appending;
        if is_busy || self.stage == StopStage::Released || now < self.next_read {
            return None;
        }
        self.reading = true;
        self.sent.retain(|_, sent| now < *sent + self.terms.term);
        let interval = if self.sent.is_empty() {
            self.terms.read_interval
        } else {
            self.terms.resolve_interval
        };
        self.next_read = now + interval;
        let max_records = match self.position {
            StreamPosition::Unknown => 1,
            StreamPosition::Behind | StreamPosition::CaughtUp => PAGE_RECORDS,
        };
        Some(LeaseAction::Read {
            from: self.replica.next_offset(),
            max_records,
        })
    }

    fn draw_jitter(&mut self) {
        let micros = self.terms.takeover_jitter.as_micros() as u64;
        self.jitter = Duration::from_micros(self.random.random_range(0..=micros));
    }
}
