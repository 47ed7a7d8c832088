//! Bounded history of publications and versions.

use std::collections::VecDeque;

use super::{PublicationEntry, PublicationOutcome, TableVersion};

const MAX_VERSIONS: usize = 32;
const MAX_ENTRIES: usize = 512;

/// Most recent publications and accepted versions.
#[derive(Debug, Clone, Default)]
pub(super) struct PublicationHistory {
    versions: VecDeque<TableVersion>,
    entries: VecDeque<PublicationEntry>,
}

impl PublicationHistory {
    pub(super) fn add_version(&mut self, version: TableVersion) {
        push_bounded(&mut self.versions, MAX_VERSIONS, version);
    }

    pub(super) fn add_entry(&mut self, entry: PublicationEntry) {
        push_bounded(&mut self.entries, MAX_ENTRIES, entry);
    }

    pub(super) fn version(&self, version: u64) -> Option<&TableVersion> {
        self.versions.iter().find(|known| known.version == version)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &PublicationEntry> {
        self.entries.iter()
    }

    /// Returns the outcome of a publication.
    ///
    /// If several records have the same id, the accepted one takes precedence.
    pub(super) fn outcome(&self, id: &str) -> Option<&PublicationOutcome> {
        let outcomes = || {
            let entries = self.entries.iter().filter(|entry| entry.id == id);
            entries.map(|entry| &entry.outcome)
        };
        let is_accepted =
            |outcome: &&PublicationOutcome| matches!(outcome, PublicationOutcome::Accepted { .. });
        outcomes().find(is_accepted).or_else(|| outcomes().next())
    }
}

/// Appends an entry and drops the oldest one if the queue is full.
fn push_bounded<T>(entries: &mut VecDeque<T>, max_len: usize, entry: T) {
    if entries.len() == max_len {
        entries.pop_front();
    }
    entries.push_back(entry);
}
