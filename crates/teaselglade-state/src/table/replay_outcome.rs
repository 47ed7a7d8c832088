//! Effect of replaying one record.

use super::PublicationOutcome;

teaselglade_core::value_type! {
    /// Reason for skipping a record.
    pub enum SkipReason {
        /// The record cannot be decoded.
        Malformed,
        /// The record names another cluster.
        ForeignCluster,
        /// A record at this offset was already replayed.
        Replayed,
        /// Earlier records are missing and no snapshot that replaces them was found yet.
        #[serde(rename = "unanchored")]
        MissingRecords,
    }
}

/// Effect of replaying one record.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplayOutcome {
    /// The record is a publication, which was accepted or rejected.
    Publication(PublicationOutcome),
    /// The head was taken from a snapshot, since earlier records are missing.
    SnapshotAdopted {
        /// Version of the snapshot.
        version: u64,
    },
    /// The record is a snapshot that agrees with the replay, or is too old to be compared.
    SnapshotSeen,
    /// The record is a snapshot that contradicts the replay; it was ignored.
    SnapshotConflict,
    /// The record had no effect.
    Skipped(SkipReason),
}

teaselglade_core::value_type! {
    /// Counters of replayed records.
    #[derive(Copy, Eq, Default)]
    pub struct ReplayCounts {
        /// Publications that were accepted as a version.
        pub accepted: u64,
        /// Publications that were rejected.
        pub rejected: u64,
        /// Snapshots from the log that the head was taken from.
        pub adopted: u64,
        /// Snapshots of the log and heads of peers that contradicted the replay.
        pub conflicts: u64,
        /// Records that could not be decoded.
        pub malformed: u64,
        /// Records and heads of peers that name another cluster.
        pub foreign: u64,
        /// Times that earlier records were missing from the log or from a read.
        pub gaps: u64,
    }
}
