//! Port to the platform's append-only log.

use std::fmt::{self, Debug};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::PortFuture;
use crate::time::Timestamp;

/// Name of a stream of the log.
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
    /// Returns the stream of table publications.
    #[must_use]
    pub fn table() -> Self {
        Self("table".to_owned())
    }

    /// Returns the stream of one shard of claims.
    #[must_use]
    pub fn claims(shard: u16) -> Self {
        Self(format!("claims-{shard}"))
    }

    /// Returns the stream of the control leases of one data centre.
    #[must_use]
    pub fn leases(zone: &str) -> Self {
        Self(format!("leases-{zone}"))
    }

    /// Returns the stream of decided usage reports.
    #[must_use]
    pub fn usage() -> Self {
        Self("usage".to_owned())
    }

    /// Returns the stream of the audit trail.
    #[must_use]
    pub fn audit() -> Self {
        Self("audit".to_owned())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Place in the stream; it grows by one from record to record.
    pub offset: u64,
    /// Time of the append on the log's clock.
    pub appended: Timestamp,
    /// Content of the record.
    pub body: Bytes,
}

/// Records of a stream from some offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Offset of the oldest record that the log still keeps.
    pub first: u64,
    /// Offset that the next append will get.
    pub end: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord>,
}

/// Failure of a call to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The call had no effect.
    Refused {
        /// What the log said.
        detail: String,
    },
    /// Whether the call had its effect is unknown.
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

/// The platform's append-only log.
pub trait LogPort: Debug + Send + Sync {
    /// Appends a record and returns its offset.
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        body: Bytes,
    ) -> PortFuture<'a, Result<u64, LogError>>;

    /// Reads up to `most` records from offset `from` on.
    ///
    /// Waits up to `wait` for a first record where there is none. A `from` below the oldest
    /// record starts at the oldest.
    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: u64,
        most: u32,
        wait: Duration,
    ) -> PortFuture<'a, Result<LogPage, LogError>>;
}
