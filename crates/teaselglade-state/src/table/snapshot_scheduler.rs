//! Schedule for appending the table's snapshot to the log again.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::TableRecord;

use super::{TableReplica, encode_record};

const DUE_RETENTION_DIVISOR: u32 = 4;
const JITTER_RETENTION_DIVISOR: u32 = 16;
const MAX_BOOTSTRAP_RECORDS: u64 = 256;
const MAX_JITTER_WITHOUT_SNAPSHOT: Duration = Duration::from_secs(5);
const MIN_APPEND_INTERVAL: Duration = Duration::from_secs(10);

/// Decision of a snapshot scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotDecision {
    /// Appends nothing now.
    Idle,
    /// Appends a snapshot to the table's stream.
    Append {
        /// Encoded record.
        body: Bytes,
    },
}

/// Schedules snapshots so that the log always holds one that new replicas can start from.
///
/// A snapshot is due when a quarter of the log's retention has passed since the oldest record
/// that a new replica needs, when a new replica would replay too many records, or when no
/// starting point of new replicas is known. Every scheduler adds random jitter, so that usually
/// only one host appends; a duplicate snapshot is harmless.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::table::{SnapshotDecision, SnapshotScheduler, TableReplica};
///
/// let mut scheduler = SnapshotScheduler::new(Duration::from_secs(7_200), 1);
/// let replica = TableReplica::new("halloran");
/// assert_eq!(scheduler.decide(Timestamp::ZERO, &replica), SnapshotDecision::Idle);
/// ```
#[derive(Debug, Clone)]
pub struct SnapshotScheduler {
    retention: Duration,
    random: Pcg64Mcg,
    scheduled: Option<ScheduledSnapshot>,
    next_append_at: Timestamp,
}

/// Due time with jitter, valid while `bootstrap_since` is unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ScheduledSnapshot {
    bootstrap_since: Option<Timestamp>,
    at: Timestamp,
}

impl SnapshotScheduler {
    /// Creates a scheduler for a log that keeps records for `retention`.
    #[must_use]
    pub fn new(retention: Duration, seed: u64) -> Self {
        Self {
            retention,
            random: Pcg64Mcg::seed_from_u64(seed),
            scheduled: None,
            next_append_at: Timestamp::ZERO,
        }
    }

    /// Decides whether to append a snapshot now.
    ///
    /// Only a replica that has read to the end of the log provides snapshots.
    pub fn decide(&mut self, now: Timestamp, replica: &TableReplica) -> SnapshotDecision {
        let can_snapshot = replica.is_caught_up() && replica.applied_offset() > 0;
        if !can_snapshot || now < self.due_at(now, replica) || now < self.next_append_at {
            return SnapshotDecision::Idle;
        }
        let record = TableRecord::Snapshot(replica.to_snapshot());
        let Ok(body) = encode_record(&record) else {
            return SnapshotDecision::Idle;
        };
        self.next_append_at = now + MIN_APPEND_INTERVAL;
        SnapshotDecision::Append { body }
    }

    /// Returns when the next snapshot is due; the jitter is drawn once per `bootstrap_since`.
    fn due_at(&mut self, now: Timestamp, replica: &TableReplica) -> Timestamp {
        if replica.bootstrap_records() >= MAX_BOOTSTRAP_RECORDS {
            return now;
        }
        let bootstrap_since = replica.bootstrap_since();
        match self.scheduled {
            Some(scheduled) if scheduled.bootstrap_since == bootstrap_since => scheduled.at,
            _ => self.schedule(now, bootstrap_since),
        }
    }

    fn schedule(&mut self, now: Timestamp, bootstrap_since: Option<Timestamp>) -> Timestamp {
        let max_jitter = match bootstrap_since {
            Some(_) => self.retention / JITTER_RETENTION_DIVISOR,
            None => MAX_JITTER_WITHOUT_SNAPSHOT,
        };
        let jitter = max_jitter.mul_f64(self.random.random::<f64>());
        let at = match bootstrap_since {
            Some(since) => since + self.retention / DUE_RETENTION_DIVISOR + jitter,
            None => now + jitter,
        };
        self.scheduled = Some(ScheduledSnapshot {
            bootstrap_since,
            at,
        });
        at
    }
}
