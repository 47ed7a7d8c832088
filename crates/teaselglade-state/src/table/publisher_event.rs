//! Events, actions and outcomes of the table publisher.

use bytes::Bytes;
use teaselglade_core::port::{LogError, LogPage};
use teaselglade_core::time::Timestamp;

use super::PublicationRejection;

/// Input of the table publisher.
#[derive(Debug, Clone)]
pub enum PublisherEvent {
    /// The publication starts.
    Start,
    /// A page of the table's stream was read.
    PageRead(LogPage),
    /// A read of the table's stream failed.
    ReadFailed,
    /// An append succeeded, was refused or lost its response.
    Appended(Result<u64, LogError>),
    /// The time of an earlier [`PublisherAction::WakeAt`] was reached.
    Wake,
}

/// Output of the table publisher, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum PublisherAction {
    /// Reads a page of the table's stream.
    Read {
        /// Offset to read from.
        from: u64,
    },
    /// Appends a record to the table's stream.
    Append {
        /// Encoded record.
        body: Bytes,
    },
    /// Sends [`PublisherEvent::Wake`] to the publisher at this time.
    WakeAt(Timestamp),
    /// Reports the outcome; the publication has ended.
    Finish(PublishOutcome),
}

/// Outcome that a publisher reports.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The publication was read back from the log as a version.
    Accepted {
        /// Number of the version.
        version: u64,
    },
    /// The publication was rejected and can no longer become active.
    Rejected(PublicationRejection),
    /// Nothing was appended: the deadline passed or the record could not be encoded.
    NotAppended,
    /// An append may have taken effect, but the decision on it could not be read back.
    Unresolved,
}
