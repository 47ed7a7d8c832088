//! In-memory log streams.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;

#[derive(Debug, Default)]
struct RecordStream {
    first_offset: u64,
    records: VecDeque<LogRecord>,
}

impl RecordStream {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

/// Stores log streams in memory and removes records after the retention time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_standins::log::LogStore;
///
/// let mut store = LogStore::new(Duration::from_secs(60));
/// assert_eq!(store.append("table", "a".into(), Timestamp::ZERO), 0);
/// assert_eq!(store.read("table", 0, 10).records.len(), 1);
/// ```
#[derive(Debug)]
pub struct LogStore {
    retention: Duration,
    streams: HashMap<String, RecordStream>,
}

impl LogStore {
    /// Creates an empty store that retains records for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            streams: HashMap::new(),
        }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: &str, body: Bytes, now: Timestamp) -> u64 {
        self.remove_expired(now);
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.end_offset();
        stream.records.push_back(LogRecord {
            offset,
            appended: now,
            body,
        });
        offset
    }

    /// Returns up to `max_records` records, starting at offset `from`.
    ///
    /// Starts at the oldest retained record if `from` is older.
    #[must_use]
    pub fn read(&self, stream: &str, from: u64, max_records: usize) -> LogPage {
        let Some(stream) = self.streams.get(stream) else {
            return LogPage {
                first: 0,
                end: 0,
                records: Vec::new(),
            };
        };
        let skipped = from.saturating_sub(stream.first_offset) as usize;
        let records = stream
            .records
            .iter()
            .skip(skipped)
            .take(max_records)
            .cloned();
        LogPage {
            first: stream.first_offset,
            end: stream.end_offset(),
            records: records.collect(),
        }
    }

    /// Removes the records that are older than the retention time.
    pub fn remove_expired(&mut self, now: Timestamp) {
        for stream in self.streams.values_mut() {
            let is_expired = |record: &LogRecord| now.since(record.appended) > self.retention;
            while stream.records.front().is_some_and(is_expired) {
                stream.records.pop_front();
                stream.first_offset += 1;
            }
        }
    }
}
