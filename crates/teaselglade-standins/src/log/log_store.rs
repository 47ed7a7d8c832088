//! Streams of records in memory.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;

#[derive(Debug, Default)]
struct RecordStream {
    first: u64,
    records: VecDeque<LogRecord>,
}

impl RecordStream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// Streams of records that are kept for a limited time.
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
    /// Makes an empty store that keeps records for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            streams: HashMap::new(),
        }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: &str, body: Bytes, now: Timestamp) -> u64 {
        self.expire(now);
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        stream.records.push_back(LogRecord {
            offset,
            appended: now,
            body,
        });
        offset
    }

    /// Returns up to `most` records from `from` on.
    #[must_use]
    pub fn read(&self, stream: &str, from: u64, most: usize) -> LogPage {
        let Some(stream) = self.streams.get(stream) else {
            return LogPage {
                first: 0,
                end: 0,
                records: Vec::new(),
            };
        };
        let skipped = from.saturating_sub(stream.first) as usize;
        let records = stream.records.iter().skip(skipped).take(most).cloned();
        LogPage {
            first: stream.first,
            end: stream.end(),
            records: records.collect(),
        }
    }

    /// Drops the records that are older than the retention.
    pub fn expire(&mut self, now: Timestamp) {
        for stream in self.streams.values_mut() {
            let is_old = |record: &LogRecord| now.since(record.appended) > self.retention;
            while stream.records.front().is_some_and(is_old) {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }
}
