//! Merges snapshots of the log and heads of peers into a replica.

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_wire::{TableRecord, TableSnapshot};

use super::table_replica::table_faults;
use super::{ReplayOutcome, TableReplica};

impl TableReplica {
    /// Adopts a peer's head and returns whether the version in force went up.
    ///
    /// A head that covers no more of the log than this replica knows is ignored.
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
        self.is_contiguous = self.applied_offset >= self.floor;
        self.is_caught_up = false;
        self.forget_needed();
        self.raise_head(snapshot.into())
    }

    pub(super) fn check_snapshot(
        &mut self,
        record: &LogRecord,
        snapshot: &TableSnapshot,
    ) -> ReplayOutcome {
        let is_tight = snapshot.through == record.offset;
        if !is_tight {
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

    /// Looks for a snapshot behind which the log still keeps every record.
    pub(super) fn find_anchor(&mut self, page: &LogPage) -> Option<ReplayOutcome> {
        for record in &page.records {
            let Ok(TableRecord::Snapshot(snapshot)) = self.decode(record) else {
                continue;
            };
            let is_covered = (page.first..=record.offset).contains(&snapshot.through);
            if is_covered && is_valid_head(&snapshot) && snapshot.version >= self.head.version {
                return Some(self.adopt_anchor(snapshot));
            }
        }
        let behind_page = page.records.last().map_or(0, |record| record.offset + 1);
        self.scanned = self.scanned.max(self.floor).max(behind_page);
        None
    }

    fn adopt_anchor(&mut self, snapshot: TableSnapshot) -> ReplayOutcome {
        let version = snapshot.version;
        self.counts.adopted += 1;
        self.is_contiguous = true;
        self.applied_offset = snapshot.through;
        self.forget_needed();
        self.raise_head(snapshot.into());
        ReplayOutcome::SnapshotAdopted { version }
    }

    fn forget_needed(&mut self) {
        self.bootstrap_since = None;
        self.bootstrap_records = 0;
    }
}

fn is_valid_head(snapshot: &TableSnapshot) -> bool {
    snapshot.version == 0 || table_faults(&snapshot.csv).is_none()
}
