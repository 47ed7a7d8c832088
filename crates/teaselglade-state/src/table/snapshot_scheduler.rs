//! Decides when the table's snapshot has to be appended again.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::TableRecord;

use super::{TableReplica, encode_record};

const DUE_PART_OF_RETENTION: u32 = 4;
const SPREAD_PART_OF_RETENTION: u32 = 16;
const MAX_NEEDED_RECORDS: u64 = 256;
const UNKNOWN_SPREAD: Duration = Duration::from_secs(5);
const REPEAT_DELAY: Duration = Duration::from_secs(10);

/// What a keeper does now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotDecision {
    /// Nothing.
    Idle,
    /// Append this record to the table's stream.
    Append {
        /// Content of the record.
        body: Bytes,
    },
}

/// Keeps a snapshot in the log that late readers can start from.
///
/// A snapshot is due when a quarter of the log's retention has passed since the oldest record
/// that a late reader needs, when too many records follow it, or when none is known. Each keeper
/// waits a random spread, so that mostly one of them appends. Appending twice is harmless.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::table::{SnapshotDecision, SnapshotScheduler, TableReplica};
///
/// let mut keeper = SnapshotScheduler::new(Duration::from_secs(7_200), 1);
/// let replica = TableReplica::new("halloran");
/// assert_eq!(keeper.decide(Timestamp::ZERO, &replica), SnapshotDecision::Idle);
/// ```
#[derive(Debug, Clone)]
pub struct SnapshotScheduler {
    retention: Duration,
    random: Pcg64Mcg,
    due: Option<DueSnapshot>,
    repeat_after: Timestamp,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DueSnapshot {
    bootstrap_since: Option<Timestamp>,
    at: Timestamp,
}

impl SnapshotScheduler {
    /// Makes a keeper for a log that keeps records for `retention`.
    #[must_use]
    pub fn new(retention: Duration, seed: u64) -> Self {
        Self {
            retention,
            random: Pcg64Mcg::seed_from_u64(seed),
            due: None,
            repeat_after: Timestamp::ZERO,
        }
    }

    /// Decides whether to append a snapshot now.
    ///
    /// Only a replica that has read to the end of the log is a source of snapshots.
    pub fn decide(&mut self, now: Timestamp, replica: &TableReplica) -> SnapshotDecision {
        let has_content = replica.is_caught_up() && replica.applied_offset() > 0;
        if !has_content || now < self.due_at(now, replica) || now < self.repeat_after {
            return SnapshotDecision::Idle;
        }
        let record = TableRecord::Snapshot(replica.to_snapshot());
        let Ok(body) = encode_record(&record) else {
            return SnapshotDecision::Idle;
        };
        self.repeat_after = now + REPEAT_DELAY;
        SnapshotDecision::Append { body }
    }

    fn due_at(&mut self, now: Timestamp, replica: &TableReplica) -> Timestamp {
        if replica.bootstrap_records() >= MAX_NEEDED_RECORDS {
            return now;
        }
        let bootstrap_since = replica.bootstrap_since();
        match self.due {
            Some(due) if due.bootstrap_since == bootstrap_since => due.at,
            _ => self.plan(now, bootstrap_since),
        }
    }

    fn plan(&mut self, now: Timestamp, bootstrap_since: Option<Timestamp>) -> Timestamp {
        let spread = match bootstrap_since {
            Some(_) => self.retention / SPREAD_PART_OF_RETENTION,
            None => UNKNOWN_SPREAD,
        };
        let delay = spread.mul_f64(self.random.random::<f64>());
        let at = match bootstrap_since {
            Some(since) => since + self.retention / DUE_PART_OF_RETENTION + delay,
            None => now + delay,
        };
        self.due = Some(DueSnapshot {
            bootstrap_since,
            at,
        });
        at
    }
}
