//! Merges snapshots from the log and from peers into a replica.

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_wire::{TableRecord, TableSnapshot};

use super::table_replica::table_faults;
use super::{ReplayOutcome, TableReplica};

impl TableReplica {
    /// Adopts a peer's head and returns whether the active version increased.
    ///
    /// Ignores a head that covers no more of the log than this replica has applied.
    pub fn on_peer_head(&mut self, snapshot: TableSnapshot) -> bool {
        if snapshot.cluster != self.cluster {
            self.counts.foreign += 1;
            return false;
        }
        if snapshot.through <= self.applied_offset {
            return false;
        }
        if snapshot.version < self.head.version || !is_valid_head(&snapshot) {
            self.counts.conflicts += 1;
            return false;
        }
        self.applied_offset = snapshot.through;
        self.is_contiguous = self.applied_offset >= self.log_start_offset;
        self.is_caught_up = false;
        self.reset_bootstrap();
        self.advance_head(snapshot.into())
    }

    /// Compares a replayed snapshot with the head.
    ///
    /// Only a snapshot of everything before its own record is compared. One that agrees becomes
    /// the starting point of new replicas; one that contradicts the head is counted and ignored.
    pub(super) fn check_snapshot(
        &mut self,
        record: &LogRecord,
        snapshot: &TableSnapshot,
    ) -> ReplayOutcome {
        let covers_prior_records = snapshot.through == record.offset;
        if !covers_prior_records {
            return ReplayOutcome::SnapshotSeen;
        }
        if snapshot.version != self.head.version || snapshot.id != self.head.id {
            self.counts.conflicts += 1;
            return ReplayOutcome::SnapshotConflict;
        }
        self.bootstrap_since = Some(record.appended);
        self.bootstrap_records = 1;
        ReplayOutcome::SnapshotSeen
    }

    /// Adopts a snapshot from the page if the log still holds every record that follows it.
    ///
    /// Returns `None` if the page has no such snapshot; the next page is then searched.
    pub(super) fn find_base_snapshot(&mut self, page: &LogPage) -> Option<ReplayOutcome> {
        for record in &page.records {
            let Ok(TableRecord::Snapshot(snapshot)) = self.decode(record) else {
                continue;
            };
            let is_replayable = (page.first..=record.offset).contains(&snapshot.through);
            if is_replayable && is_valid_head(&snapshot) && snapshot.version >= self.head.version {
                return Some(self.adopt_base_snapshot(snapshot));
            }
        }
        let page_end = page.records.last().map_or(0, |record| record.offset + 1);
        self.scan_offset = self.scan_offset.max(self.log_start_offset).max(page_end);
        None
    }

    fn adopt_base_snapshot(&mut self, snapshot: TableSnapshot) -> ReplayOutcome {
        let version = snapshot.version;
        self.counts.adopted += 1;
        self.is_contiguous = true;
        self.applied_offset = snapshot.through;
        self.reset_bootstrap();
        self.advance_head(snapshot.into());
        ReplayOutcome::SnapshotAdopted { version }
    }

    /// Clears the starting point of new replicas until a replayed snapshot sets it again.
    fn reset_bootstrap(&mut self) {
        self.bootstrap_since = None;
        self.bootstrap_records = 0;
    }
}

fn is_valid_head(snapshot: &TableSnapshot) -> bool {
    snapshot.version == 0 || table_faults(&snapshot.csv).is_none()
}
