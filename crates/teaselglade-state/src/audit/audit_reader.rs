//! Reads the audit trail.

use std::collections::HashMap;
use std::fmt;

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_wire::codec::from_msgpack;
use teaselglade_wire::{AuditBatch, AuditEntry};

use super::AuditFilter;

/// One entry of the audit trail with its place in the stream.
#[derive(Debug, Clone, PartialEq)]
pub struct AuditLine {
    /// Offset of the record that holds the entry.
    pub offset: u64,
    /// The entry.
    pub entry: AuditEntry,
}

impl fmt::Display for AuditLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AuditLine { offset, entry } = self;
        let from = entry.from.as_deref().unwrap_or("-");
        let to = entry.to.as_deref().unwrap_or("-");
        let number = entry.number.map(|number| number.to_string());
        let number = number.as_deref().unwrap_or("-");
        write!(
            f,
            "{offset} at_ms={} number={number} {} {} {}: {from} -> {to}",
            entry.at_ms, entry.actor, entry.action, entry.subject
        )
    }
}

/// Reader of the audit stream; it drops batches that were appended twice.
///
/// # Examples
///
/// ```
/// use teaselglade_core::port::LogPage;
/// use teaselglade_state::audit::{AuditFilter, AuditReader};
///
/// let mut reader = AuditReader::new(AuditFilter::default());
/// let page = LogPage { first: 4, end: 4, records: Vec::new() };
/// assert!(reader.on_page(&page).is_empty());
/// assert_eq!(reader.next_offset(), 4);
/// ```
#[derive(Debug, Clone, Default)]
pub struct AuditReader {
    filter: AuditFilter,
    next: u64,
    sequences: HashMap<String, u64>,
    repeated: u64,
    malformed: u64,
}

impl AuditReader {
    /// Makes a reader that returns what `filter` passes.
    #[must_use]
    pub fn new(filter: AuditFilter) -> Self {
        Self {
            filter,
            ..Self::default()
        }
    }

    /// Returns the offset to read from next.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns how many repeated batches were dropped.
    #[must_use]
    pub const fn duplicates(&self) -> u64 {
        self.repeated
    }

    /// Returns how many records were no batch.
    #[must_use]
    pub const fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Takes a page of the stream and returns its new entries.
    pub fn on_page(&mut self, page: &LogPage) -> Vec<AuditLine> {
        self.next = self.next.max(page.first);
        let mut lines = Vec::new();
        for record in &page.records {
            if record.offset < self.next {
                continue;
            }
            self.next = record.offset + 1;
            self.read_record(record, &mut lines);
        }
        lines
    }

    fn read_record(&mut self, record: &LogRecord, lines: &mut Vec<AuditLine>) {
        let Ok(batch) = from_msgpack::<AuditBatch>(&record.body) else {
            self.malformed += 1;
            return;
        };
        let last = self.sequences.entry(batch.writer).or_default();
        if batch.sequence <= *last {
            self.repeated += 1;
            return;
        }
        *last = batch.sequence;
        let offset = record.offset;
        let passed = batch.entries.into_iter();
        let passed = passed.filter(|entry| self.filter.matches(entry));
        lines.extend(passed.map(|entry| AuditLine { offset, entry }));
    }
}
