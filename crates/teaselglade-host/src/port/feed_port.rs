//! Port to what operators and servers publish in the platform's store.

use std::fmt::{self, Debug};
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::PortFuture;
use teaselglade_routing::gossip::PeerAddress;
use teaselglade_routing::registry::ServerRegistration;
use teaselglade_routing::table::TableSpec;

use super::MessageError;

/// What is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Feed {
    /// The table, by operators.
    Table,
    /// The servers, by themselves.
    Servers,
    /// The hosts of this system, by themselves.
    Hosts,
}

/// A version of the table and the bytes that it was read from, for peers.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedTable {
    /// Content.
    pub spec: TableSpec,
    /// Bytes as published.
    pub raw: Bytes,
}

/// One published record.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedItem {
    /// A version of the table.
    Table(PublishedTable),
    /// A server's entry.
    Server(ServerRegistration),
    /// A server's entry was removed.
    ServerRemoved(String),
    /// A host of this system.
    Host(PeerAddress),
    /// A record of another writer, or of a form that is not known.
    Unreadable {
        /// Key of the record.
        key: String,
        /// What was wrong.
        detail: String,
    },
}

/// Records of a feed.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedPage {
    /// The records, in their order.
    pub items: Vec<FeedItem>,
    /// Where to read on.
    pub next_offset: u64,
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// What was asked for was dropped; all has to be read again.
    HistoryLost,
    /// The store refused the call.
    Refused {
        /// HTTP status.
        status: u16,
        /// What the store said.
        detail: String,
    },
    /// No answer came, or none that can be read.
    Unknown {
        /// Whether the call may have had its effect.
        may_have_effect: bool,
        /// What went wrong.
        detail: String,
    },
}

impl StoreError {
    /// Makes the error of an answer that cannot be read.
    pub fn unreadable(detail: impl Into<String>) -> Self {
        Self::Unknown {
            may_have_effect: true,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => f.write_str("the store dropped its history"),
            Self::Refused { status, detail } => write!(f, "the store refused ({status}): {detail}"),
            Self::Unknown { detail, .. } => write!(f, "the store did not answer: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What operators and servers publish in the platform's store.
pub trait FeedPort: Debug + Send + Sync {
    /// Returns the newest record of each key.
    fn latest(&self, feed: Feed) -> PortFuture<'_, Result<FeedPage, StoreError>>;

    /// Returns what was published from `from` on; waits up to `wait` where there is nothing.
    fn changes(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> PortFuture<'_, Result<FeedPage, StoreError>>;

    /// Publishes where this host takes digests.
    fn announce(&self, host: PeerAddress) -> PortFuture<'_, Result<(), StoreError>>;

    /// Decodes a version of the table that a peer passed on.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no table.
    fn decode_table(&self, raw: &[u8]) -> Result<TableSpec, MessageError>;
}
