//! Model of one stream of the append-only log.

use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;

use super::task::{HostRun, LogQuery};

const MAX_PAGE_RECORDS: usize = 3;

#[derive(Debug)]
pub struct LogModel {
    pub retention: Duration,
    pub is_down: bool,
    pub first: u64,
    pub records: Vec<LogRecord>,
    pub polls: Vec<(HostRun, LogQuery)>,
}

impl LogModel {
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            is_down: false,
            first: 0,
            records: Vec::new(),
            polls: Vec::new(),
        }
    }

    pub fn append(&mut self, now: Timestamp, body: Bytes) -> u64 {
        let offset = self.end();
        self.records.push(LogRecord {
            offset,
            appended: now,
            body,
        });
        offset
    }

    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    pub fn page(&mut self, now: Timestamp, query: LogQuery) -> LogPage {
        let is_expired = |record: &LogRecord| record.appended + self.retention < now;
        self.first = self
            .records
            .iter()
            .take_while(|record| is_expired(record))
            .count() as u64;
        let max_records = MAX_PAGE_RECORDS.min(query.max_records as usize);
        let start = query.from.max(self.first).min(self.end()) as usize;
        let records = self.records[start..]
            .iter()
            .take(max_records)
            .cloned()
            .collect();
        LogPage {
            first: self.first,
            end: self.end(),
            records,
        }
    }
}
