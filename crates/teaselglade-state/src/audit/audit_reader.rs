//! Reads entries from the audit stream.

use std::collections::HashMap;
use std::fmt;

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_wire::codec::from_msgpack;
use teaselglade_wire::{AuditBatch, AuditEntry};

use super::AuditFilter;

/// One entry of the audit trail with its offset in the stream.
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

/// Reader of the audit stream that drops duplicate batches.
///
/// A writer appends a batch again under the same sequence number if it got no response.
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
    next_offset: u64,
    /// Last sequence number read from each writer.
    last_sequences: HashMap<String, u64>,
    duplicates: u64,
    malformed: u64,
}

impl AuditReader {
    /// Creates a reader that returns the entries that `filter` matches.
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
        self.next_offset
    }

    /// Returns the number of duplicate batches that were dropped.
    #[must_use]
    pub const fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Returns the number of records that could not be decoded.
    #[must_use]
    pub const fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Reads a page of the stream and returns its new matching entries.
    pub fn on_page(&mut self, page: &LogPage) -> Vec<AuditLine> {
        self.next_offset = self.next_offset.max(page.first);
        let mut lines = Vec::new();
        for record in &page.records {
            if record.offset < self.next_offset {
                continue;
            }
            self.next_offset = record.offset + 1;
            self.read_record(record, &mut lines);
        }
        lines
    }

    fn read_record(&mut self, record: &LogRecord, lines: &mut Vec<AuditLine>) {
        let Ok(batch) = from_msgpack::<AuditBatch>(&record.body) else {
            self.malformed += 1;
            return;
        };
        let last = self.last_sequences.entry(batch.writer).or_default();
        if batch.sequence <= *last {
            self.duplicates += 1;
            return;
        }
        *last = batch.sequence;
        let offset = record.offset;
        let matching = batch.entries.into_iter();
        let matching = matching.filter(|entry| self.filter.matches(entry));
        lines.extend(matching.map(|entry| AuditLine { offset, entry }));
    }
}
