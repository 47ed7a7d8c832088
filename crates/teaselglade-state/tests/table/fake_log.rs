//! In-memory log with retention, outages, lost responses and delayed appends.

use bytes::Bytes;
use teaselglade_core::port::{LogError, LogPage, LogRecord};
use teaselglade_core::time::Timestamp;

/// Fault injected into an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    None,
    /// The record is appended, but the response is lost.
    LostAfterEffect,
    /// The record is never appended, and the caller gets no response.
    LostBeforeEffect,
    /// The record is appended later, and the caller gets no response.
    LostAndDelayed,
    /// The log refuses the append.
    Refused,
}

#[derive(Debug, Default)]
pub struct FakeLog {
    pub all: Vec<LogRecord>,
    pub first: u64,
    pub is_unavailable: bool,
    pub delayed: Vec<Bytes>,
}

impl FakeLog {
    pub fn append(
        &mut self,
        now: Timestamp,
        body: Bytes,
        fault: AppendFault,
    ) -> Result<u64, LogError> {
        let detail = "fault".to_owned();
        if self.is_unavailable || fault == AppendFault::Refused {
            return Err(LogError::Refused { detail });
        }
        match fault {
            AppendFault::LostBeforeEffect => return Err(LogError::Unknown { detail }),
            AppendFault::LostAndDelayed => {
                self.delayed.push(body);
                return Err(LogError::Unknown { detail });
            }
            _ => {}
        }
        let offset = self.push(now, body);
        match fault {
            AppendFault::LostAfterEffect => Err(LogError::Unknown { detail }),
            _ => Ok(offset),
        }
    }

    pub fn push(&mut self, now: Timestamp, body: Bytes) -> u64 {
        let offset = self.all.len() as u64;
        self.all.push(LogRecord {
            offset,
            appended: now,
            body,
        });
        offset
    }

    pub fn append_delayed(&mut self, now: Timestamp) {
        for body in std::mem::take(&mut self.delayed) {
            self.push(now, body);
        }
    }

    pub fn read(&self, from: u64, max_records: usize) -> Option<LogPage> {
        if self.is_unavailable {
            return None;
        }
        let start = from.max(self.first) as usize;
        let records = self.all.iter().skip(start).take(max_records);
        Some(LogPage {
            first: self.first,
            end: self.all.len() as u64,
            records: records.cloned().collect(),
        })
    }

    pub fn drop_records(&mut self, count: u64) {
        self.first = (self.first + count).min(self.all.len() as u64);
    }
}
