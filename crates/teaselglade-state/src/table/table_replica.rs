//! Replica of the table, replayed from the log.

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::table::parse_table;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::{TableHead, TablePublication, TableRecord, TableSnapshot};

use super::publication_history::PublicationHistory;
use super::{
    MAX_TABLE_BYTES, PublicationEntry, PublicationOutcome, PublicationRejection, ReplayCounts,
    ReplayOutcome, SkipReason, TableVersion, decode_record,
};

/// Replica of the table that replays the log; all replicas derive the same versions.
///
/// The first valid publication on a base is accepted, and versions only increase. A replica for
/// which earlier records are missing waits for a snapshot after which the log still holds every
/// record.
///
/// # Examples
///
/// ```
/// use teaselglade_core::port::LogPage;
/// use teaselglade_state::table::TableReplica;
///
/// let mut replica = TableReplica::new("halloran");
/// replica.on_page(&LogPage { first: 0, end: 0, records: Vec::new() });
/// assert!(replica.is_caught_up());
/// assert_eq!(replica.head().version, 0);
/// ```
#[derive(Debug, Clone)]
pub struct TableReplica {
    pub(super) cluster: String,
    pub(super) applied_offset: u64,
    /// Offset from which to search for a base snapshot while records are missing.
    pub(super) scan_offset: u64,
    /// Lowest offset that the log still holds, as of the last page.
    pub(super) log_start_offset: u64,
    pub(super) is_contiguous: bool,
    pub(super) is_caught_up: bool,
    pub(super) bootstrap_since: Option<Timestamp>,
    pub(super) bootstrap_records: u64,
    pub(super) head: TableVersion,
    pub(super) history: PublicationHistory,
    pub(super) counts: ReplayCounts,
}

impl TableReplica {
    /// Creates an empty replica at the start of the cluster's stream.
    #[must_use]
    pub fn new(cluster: impl Into<String>) -> Self {
        Self {
            cluster: cluster.into(),
            applied_offset: 0,
            scan_offset: 0,
            log_start_offset: 0,
            is_contiguous: true,
            is_caught_up: false,
            bootstrap_since: None,
            bootstrap_records: 0,
            head: TableVersion::default(),
            history: PublicationHistory::default(),
            counts: ReplayCounts::default(),
        }
    }

    /// Replays a page and returns the effect of each replayed record.
    ///
    /// The caller reads again from [`Self::next_offset`] until [`Self::is_caught_up`].
    pub fn on_page(&mut self, page: &LogPage) -> Vec<ReplayOutcome> {
        self.log_start_offset = self.log_start_offset.max(page.first);
        if page.first > self.applied_offset && self.is_contiguous {
            self.record_gap(page.first);
        }
        let mut outcomes = Vec::new();
        if !self.is_contiguous {
            outcomes.extend(self.find_base_snapshot(page));
        }
        if self.is_contiguous {
            self.replay_records(page, &mut outcomes);
        }
        self.is_caught_up = self.is_contiguous && self.applied_offset >= page.end;
        outcomes
    }

    /// Replays one record and returns its effect.
    pub fn on_record(&mut self, record: &LogRecord) -> ReplayOutcome {
        if record.offset < self.applied_offset {
            return ReplayOutcome::Skipped(SkipReason::Replayed);
        }
        if record.offset > self.applied_offset && self.is_contiguous {
            self.record_gap(record.offset);
        }
        if !self.is_contiguous {
            return ReplayOutcome::Skipped(SkipReason::MissingRecords);
        }
        self.applied_offset += 1;
        self.bootstrap_records += 1;
        if record.offset == 0 {
            self.bootstrap_since = Some(record.appended);
        }
        match self.decode(record) {
            Ok(TableRecord::Publication(publication)) => self.decide(record, publication),
            Ok(TableRecord::Snapshot(snapshot)) => self.check_snapshot(record, &snapshot),
            Err(reason) => ReplayOutcome::Skipped(reason),
        }
    }

    /// Returns the active version.
    #[must_use]
    pub const fn head(&self) -> &TableVersion {
        &self.head
    }

    /// Returns whether the replay has reached the log's end as of the last page.
    #[must_use]
    pub const fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns whether no record is missing between the head and the next offset.
    #[must_use]
    pub const fn is_contiguous(&self) -> bool {
        self.is_contiguous
    }

    /// Returns the offset to read from next.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        if self.is_contiguous {
            return self.applied_offset;
        }
        self.scan_offset
    }

    /// Returns the log offset before which all records are reflected in the head.
    #[must_use]
    pub const fn applied_offset(&self) -> u64 {
        self.applied_offset
    }

    /// Returns the append time of the oldest record that a new replica needs, if it is known.
    #[must_use]
    pub const fn bootstrap_since(&self) -> Option<Timestamp> {
        self.bootstrap_since
    }

    /// Returns the number of records that a new replica has to replay.
    #[must_use]
    pub const fn bootstrap_records(&self) -> u64 {
        self.bootstrap_records
    }

    /// Returns a snapshot of the head, for the log or for a peer.
    #[must_use]
    pub fn to_snapshot(&self) -> TableSnapshot {
        self.head.to_snapshot(&self.cluster, self.applied_offset)
    }

    /// Returns the active version, as the answer to the poll of a starting host.
    ///
    /// `known` states whether this host has determined the head since its own start.
    #[must_use]
    pub fn to_table_head(&self, known: bool) -> TableHead {
        TableHead {
            cluster: self.cluster.clone(),
            version: self.head.version,
            through: self.applied_offset,
            known,
        }
    }

    /// Returns an accepted version, if it is still in the history.
    #[must_use]
    pub fn version(&self, version: u64) -> Option<&TableVersion> {
        self.history.version(version)
    }

    /// Returns the latest publications, accepted and rejected, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &PublicationEntry> {
        self.history.entries()
    }

    /// Returns the outcome of a publication, if its record was replayed.
    ///
    /// If several records have the same id, the accepted one takes precedence.
    #[must_use]
    pub fn publication(&self, id: &str) -> Option<&PublicationOutcome> {
        self.history.outcome(id)
    }

    /// Returns the counters of replayed records.
    #[must_use]
    pub const fn counts(&self) -> ReplayCounts {
        self.counts
    }

    /// Records that the log no longer holds records that this replica has not replayed.
    fn record_gap(&mut self, first: u64) {
        self.counts.gaps += 1;
        self.is_contiguous = false;
        self.is_caught_up = false;
        self.scan_offset = first;
    }

    /// Replays the records of a page, up to the first missing offset.
    fn replay_records(&mut self, page: &LogPage, outcomes: &mut Vec<ReplayOutcome>) {
        let applied_offset = self.applied_offset;
        let records = page.records.iter();
        for record in records.skip_while(|record| record.offset < applied_offset) {
            let is_next = record.offset == self.applied_offset;
            if !is_next {
                break;
            }
            outcomes.push(self.on_record(record));
        }
    }

    /// Decodes a record of this cluster and counts the faulty ones.
    pub(super) fn decode(&mut self, record: &LogRecord) -> Result<TableRecord, SkipReason> {
        let Ok(decoded) = decode_record(&record.body) else {
            self.counts.malformed += 1;
            return Err(SkipReason::Malformed);
        };
        let cluster = match &decoded {
            TableRecord::Publication(publication) => &publication.cluster,
            TableRecord::Snapshot(snapshot) => &snapshot.cluster,
        };
        if *cluster != self.cluster {
            self.counts.foreign += 1;
            return Err(SkipReason::ForeignCluster);
        }
        Ok(decoded)
    }

    /// Accepts or rejects a publication and records it in the history.
    fn decide(&mut self, record: &LogRecord, publication: TablePublication) -> ReplayOutcome {
        let rejection = self.rejection(&publication);
        let outcome = match rejection {
            Some(rejection) => PublicationOutcome::Rejected(rejection),
            None => PublicationOutcome::Accepted {
                version: self.head.version + 1,
            },
        };
        self.history.add_entry(PublicationEntry {
            offset: record.offset,
            id: publication.id.clone(),
            base: publication.base,
            author: publication.author.clone(),
            published: Timestamp::from_millis(publication.published_ms),
            appended: record.appended,
            outcome: outcome.clone(),
        });
        if let PublicationOutcome::Accepted { version } = outcome {
            self.counts.accepted += 1;
            self.advance_head(TableVersion::from_publication(version, publication));
        } else {
            self.counts.rejected += 1;
        }
        ReplayOutcome::Publication(outcome)
    }

    /// Returns the reason to reject a publication, if there is one.
    ///
    /// Depends only on the head and the record, so that all replicas decide in the same way.
    fn rejection(&self, publication: &TablePublication) -> Option<PublicationRejection> {
        let head = self.head.version;
        if publication.base < head {
            let winner = self.version(publication.base + 1).cloned().map(Box::new);
            return Some(PublicationRejection::StaleBase { winner, head });
        }
        if publication.base > head {
            return Some(PublicationRejection::UnknownBase { head });
        }
        let faults = table_faults(&publication.csv)?;
        Some(PublicationRejection::InvalidTable { faults })
    }

    /// Sets a higher version as the head and returns whether it is higher.
    pub(super) fn advance_head(&mut self, version: TableVersion) -> bool {
        if version.version <= self.head.version {
            return false;
        }
        self.history.add_version(version.clone());
        self.head = version;
        true
    }
}

/// Returns the faults of a table, or `None` if it is valid.
pub(super) fn table_faults(csv: &str) -> Option<String> {
    if csv.len() > MAX_TABLE_BYTES {
        return Some(format!(
            "{} bytes are more than {MAX_TABLE_BYTES}",
            csv.len()
        ));
    }
    parse_table(csv).err().map(|error| error.to_string())
}
