//! Publication in the history, with its outcome.

use std::fmt;

use teaselglade_core::time::Timestamp;

use super::TableVersion;

/// Reason for rejecting a publication.
#[derive(Debug, Clone, PartialEq)]
pub enum PublicationRejection {
    /// An earlier publication on the same base was accepted.
    StaleBase {
        /// Version that was accepted on that base, if it is still in the history.
        winner: Option<Box<TableVersion>>,
        /// Version that was active when the publication was replayed.
        head: u64,
    },
    /// The base is higher than the active version.
    UnknownBase {
        /// Version that was active when the publication was replayed.
        head: u64,
    },
    /// The table is too large or cannot be parsed.
    InvalidTable {
        /// Description of the faults.
        faults: String,
    },
}

impl fmt::Display for PublicationRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleBase {
                winner: Some(winner),
                head,
            } => write!(
                f,
                "`{}` published version {} on the same base first; version {head} is in force",
                winner.author, winner.version
            ),
            Self::StaleBase { winner: None, head } => {
                write!(f, "the base is old; version {head} is in force")
            }
            Self::UnknownBase { head } => {
                write!(f, "no such base; version {head} is in force")
            }
            Self::InvalidTable { faults } => write!(f, "the table is faulty: {faults}"),
        }
    }
}

/// Outcome of a publication, as derived from the log.
#[derive(Debug, Clone, PartialEq)]
pub enum PublicationOutcome {
    /// The publication became a version.
    Accepted {
        /// Number of the version.
        version: u64,
    },
    /// The publication was rejected.
    Rejected(PublicationRejection),
}

/// One publication in the history.
#[derive(Debug, Clone, PartialEq)]
pub struct PublicationEntry {
    /// Offset of the record in the log.
    pub offset: u64,
    /// Id of the publication.
    pub id: String,
    /// Version that the published table is based on.
    pub base: u64,
    /// Name of the author.
    pub author: String,
    /// Time of the publication, on the author's clock.
    pub published: Timestamp,
    /// Time of the append, on the log's clock.
    pub appended: Timestamp,
    /// Whether it was accepted.
    pub outcome: PublicationOutcome,
}
