//! Port to the platform's append-only log.

use std::fmt::{self, Debug};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::PortFuture;
use crate::time::Timestamp;

/// Name of a log stream.
///
/// # Examples
///
/// ```
/// use teaselglade_core::port::StreamName;
///
/// assert_eq!(StreamName::table().as_str(), "table");
/// assert_eq!(StreamName::claims(7).as_str(), "claims-7");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamName(String);

impl StreamName {
    /// Returns the name of the stream of table publications.
    #[must_use]
    pub fn table() -> Self {
        Self("table".to_owned())
    }

    /// Returns the name of the stream of one shard of claims.
    #[must_use]
    pub fn claims(shard: u16) -> Self {
        Self(format!("claims-{shard}"))
    }

    /// Returns the name of the stream of control leases of one data centre.
    #[must_use]
    pub fn leases(zone: &str) -> Self {
        Self(format!("leases-{zone}"))
    }

    /// Returns the name of the stream of decided usage reports.
    #[must_use]
    pub fn usage() -> Self {
        Self("usage".to_owned())
    }

    /// Returns the name of the stream of the audit trail.
    #[must_use]
    pub fn audit() -> Self {
        Self("audit".to_owned())
    }

    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Offset in the stream; it increases by one from record to record.
    pub offset: u64,
    /// Time of the append, by the log's clock.
    pub appended: Timestamp,
    /// Content of the record.
    pub body: Bytes,
}

/// Page of records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Offset of the oldest record that the log retains.
    pub first: u64,
    /// Offset that the next appended record will get.
    pub end: u64,
    /// Records, in order of their offsets.
    pub records: Vec<LogRecord>,
}

/// Failure of a call to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The call had no effect.
    Refused {
        /// Reason for the refusal.
        detail: String,
    },
    /// It is unknown whether the call took effect.
    Unknown {
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { detail } => write!(f, "the log refused the call: {detail}"),
            Self::Unknown { detail } => write!(f, "the log's answer is unknown: {detail}"),
        }
    }
}

impl std::error::Error for LogError {}

/// Client of the platform's append-only log.
pub trait LogPort: Debug + Send + Sync {
    /// Appends a record and returns its offset.
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        body: Bytes,
    ) -> PortFuture<'a, Result<u64, LogError>>;

    /// Reads up to `max_records` records from offset `from` on.
    ///
    /// Waits up to `wait` for a first record if there is none yet. If `from` precedes the oldest
    /// retained record, the page starts at the oldest one.
    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: u64,
        max_records: u32,
        wait: Duration,
    ) -> PortFuture<'a, Result<LogPage, LogError>>;
}
