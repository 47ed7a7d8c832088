//! History of publications, accepted and rejected.

use std::fmt;

use teaselglade_core::time::Timestamp;

use super::TableVersion;

/// Why a publication was rejected.
#[derive(Debug, Clone, PartialEq)]
pub enum PublicationRejection {
    /// Another publication on the same base came first.
    StaleBase {
        /// Version that is in force on that base, where it is still remembered.
        winner: Option<Box<TableVersion>>,
        /// Version in force when the publication was read.
        head: u64,
    },
    /// The base is above the version in force.
    UnknownBase {
        /// Version in force when the publication was read.
        head: u64,
    },
    /// The table is faulty.
    InvalidTable {
        /// The faults, one a line.
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

/// What the log decided on a publication.
#[derive(Debug, Clone, PartialEq)]
pub enum PublicationOutcome {
    /// It became a version.
    Accepted {
        /// Number of the version.
        version: u64,
    },
    /// It did not.
    Rejected(PublicationRejection),
}

/// One publication in the history.
#[derive(Debug, Clone, PartialEq)]
pub struct PublicationEntry {
    /// Offset in the log.
    pub offset: u64,
    /// Id of the publication.
    pub id: String,
    /// Version that the table was made from.
    pub base: u64,
    /// Who published it.
    pub author: String,
    /// When it was published, on the author's clock.
    pub published: Timestamp,
    /// When it was appended, on the log's clock.
    pub appended: Timestamp,
    /// What the log decided.
    pub outcome: PublicationOutcome,
}
