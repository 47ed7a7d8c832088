//! Events, actions and outcomes of a publication.

use bytes::Bytes;
use teaselglade_core::port::{LogError, LogPage};
use teaselglade_core::time::Timestamp;

use super::PublicationRejection;

/// What happened to a publisher.
#[derive(Debug, Clone)]
pub enum PublisherEvent {
    /// The publication starts.
    Start,
    /// A page of the table's stream was read.
    PageRead(LogPage),
    /// Reading failed.
    ReadFailed,
    /// An append was answered, or its answer was lost.
    Appended(Result<u64, LogError>),
    /// The time of an earlier [`PublisherAction::WakeAt`] came.
    Wake,
}

/// What a publisher wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum PublisherAction {
    /// Read the table's stream.
    Read {
        /// Offset to read from.
        from: u64,
    },
    /// Append to the table's stream.
    Append {
        /// Content of the record.
        body: Bytes,
    },
    /// Send [`PublisherEvent::Wake`] at this time.
    WakeAt(Timestamp),
    /// The publication ended.
    Finish(PublishOutcome),
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// It was read back from the log as this version.
    Accepted {
        /// Number of the version.
        version: u64,
    },
    /// It is not in force and will not be.
    Rejected(PublicationRejection),
    /// Nothing was appended in the time allowed.
    NotAppended,
    /// An append may have taken effect, but could not be read back in the time allowed.
    Unresolved,
}
