//! What replaying one record did.

use super::PublicationOutcome;

teaselglade_core::value_type! {
    /// Why a record was skipped.
    pub enum SkipReason {
        /// The bytes are no record of the table's stream.
        Malformed,
        /// The record names another cluster.
        ForeignCluster,
        /// The offset was replayed before.
        Replayed,
        /// Earlier records are missing and no snapshot was found yet.
        Unanchored,
    }
}

/// What replaying one record did.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplayOutcome {
    /// A publication was decided.
    Publication(PublicationOutcome),
    /// A snapshot gave the head to a reader that missed earlier records.
    SnapshotAdopted {
        /// Version of the snapshot.
        version: u64,
    },
    /// A snapshot agreed with what was replayed.
    SnapshotSeen,
    /// A snapshot contradicted what was replayed and was ignored.
    SnapshotConflict,
    /// The record had no effect.
    Skipped(SkipReason),
}

teaselglade_core::value_type! {
    /// Counts of replayed records.
    #[derive(Copy, Eq, Default)]
    pub struct ReplayCounts {
        /// Publications that became a version.
        pub accepted: u64,
        /// Publications that were rejected.
        pub rejected: u64,
        /// Snapshots that gave the head.
        pub adopted: u64,
        /// Snapshots and heads that contradicted the replay.
        pub conflicts: u64,
        /// Malformed records.
        pub malformed: u64,
        /// Records of another cluster.
        pub foreign: u64,
        /// Times that records were missing between two reads.
        pub gaps: u64,
    }
}
