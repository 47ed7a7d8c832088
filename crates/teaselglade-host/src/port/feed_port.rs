//! Port to the feeds published in the platform's store.

use std::fmt::{self, Debug};
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::PortFuture;
use teaselglade_routing::gossip::PeerAddress;
use teaselglade_routing::registry::{ServerRegistration, ServerRemoval, StorePosition};
use teaselglade_routing::rollout::{RolloutOrder, RolloutStage};
use teaselglade_routing::table::TableSpec;
use tokio::sync::watch;

use super::{MessageError, PackedTable};

/// Feed of published records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Feed {
    /// Versions of the route table, published by operators.
    Table,
    /// Registrations of backend servers, published by the servers.
    Servers,
    /// Addresses of serving hosts, published by the hosts.
    Hosts,
}

/// Version of the route table, as decoded and as published.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedTable {
    /// Decoded table.
    pub spec: TableSpec,
    /// Bytes as published.
    pub raw: Bytes,
    /// Compressed bytes, if a peer passed them on.
    pub packed: Option<PackedTable>,
}

/// Published record of a feed.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedItem {
    /// Version of the route table.
    Table(PublishedTable),
    /// Registration of a server.
    Server(ServerRegistration),
    /// Removal of a server's registration.
    ServerRemoved(ServerRemoval),
    /// Address of a serving host.
    Host(PeerAddress),
    /// Quarantined prompt parts, as a host published them in the feed of hosts.
    Quarantine(Bytes),
    /// Order to change a service's version, published by operators beside the table.
    Rollout(RolloutOrder),
    /// Record of a foreign writer or in an unknown format.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Reason why it cannot be read.
        detail: String,
    },
}

/// State of a roll-out as the operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedRollout {
    /// Name of the service.
    pub service: String,
    /// Version that the order names.
    pub target: String,
    /// Stage; any that is no verdict stands for an order that runs.
    pub stage: RolloutStage,
}

/// State of a roll-out in the store, and the position at which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutPosition {
    /// State that the operators see; `None` if there is none for the service.
    pub published: Option<PublishedRollout>,
    /// Position that the next publication names.
    pub position: u64,
}

/// Page of records of a feed.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedPage {
    /// Records in the order of the feed.
    pub items: Vec<FeedItem>,
    /// Offset at which the next read starts.
    ///
    /// Offsets rise also when the store returns from an older copy.
    pub next_offset: u64,
    /// Position up to which the page contains the feed.
    pub end: StorePosition,
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store no longer holds the requested records; a full read is needed.
    HistoryLost {
        /// Offset of the oldest record that the store holds.
        resume_at: u64,
    },
    /// The store returned from an older copy, so that all earlier offsets are void.
    ///
    /// Records that were written since the copy are gone, and their offsets were given out again.
    HistoryReplaced {
        /// Lowest offset since that return.
        resume_at: u64,
    },
    /// The store rejected the call.
    Refused {
        /// HTTP status.
        status: u16,
        /// Response of the store.
        detail: String,
    },
    /// The response is missing or unreadable.
    Unknown {
        /// Whether the call may have taken effect.
        may_have_effect: bool,
        /// Description of the failure.
        detail: String,
    },
}

impl StoreError {
    /// Creates the error for an unreadable response.
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
            Self::HistoryLost { .. } => f.write_str("the store dropped its history"),
            Self::HistoryReplaced { .. } => {
                f.write_str("the store returned from an older copy of its records")
            }
            Self::Refused { status, detail } => write!(f, "the store refused ({status}): {detail}"),
            Self::Unknown { detail, .. } => write!(f, "the store did not answer: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Reads and publishes records of feeds in the platform's store.
pub trait FeedPort: Debug + Send + Sync {
    /// Returns the newest record of each key.
    fn latest(&self, feed: Feed) -> PortFuture<'_, Result<FeedPage, StoreError>>;

    /// Returns the records from offset `from` on; waits up to `wait` if there are none yet.
    fn changes(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> PortFuture<'_, Result<FeedPage, StoreError>>;

    /// Publishes the address at which this host receives digests.
    fn announce(&self, host: PeerAddress) -> PortFuture<'_, Result<(), StoreError>>;

    /// Publishes the quarantined prompt parts in the feed of hosts, in place of earlier ones.
    fn publish_quarantine(&self, record: Bytes) -> PortFuture<'_, Result<(), StoreError>>;

    /// Returns the state of a service's roll-out that the operators see.
    fn rollout<'a>(
        &'a self,
        service: &'a str,
    ) -> PortFuture<'a, Result<RolloutPosition, StoreError>>;

    /// Returns the states of all roll-outs that the operators see, by one read.
    fn rollouts(&self) -> PortFuture<'_, Result<Vec<PublishedRollout>, StoreError>>;

    /// Publishes the state of a roll-out, unless anything was published since `position` was read.
    ///
    /// A publication that takes effect late thus cannot replace a newer one.
    fn publish_rollout<'a>(
        &'a self,
        rollout: &'a PublishedRollout,
        position: u64,
    ) -> PortFuture<'a, Result<(), StoreError>>;

    /// Returns a receiver of the generation of the store's history.
    ///
    /// The generation rises by one each time the store returns from an older copy of its records.
    /// It is 0 until the store names it.
    fn history_generation(&self) -> watch::Receiver<u64>;

    /// Decodes a table version that a peer passed on.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid table.
    fn decode_table(&self, raw: &[u8]) -> Result<TableSpec, MessageError>;
}
