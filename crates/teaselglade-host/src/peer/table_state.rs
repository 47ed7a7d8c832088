//! Table that a host fetches from a peer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::port::PackedTable;

/// Announcement of a peer that it has a version of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableAnnouncement {
    /// Address at which the table can be fetched.
    pub peer: SocketAddr,
    /// Version of the peer's active table.
    pub version: u64,
}

/// Active table of a host, returned to a peer that fetches it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableState {
    /// Version of the active table; 0 if there is none.
    pub version: u64,
    /// Table, or `None` if the peer already has this version or a newer one.
    pub table: Option<PackedTable>,
    /// Offset in the store's feed before which no table is newer than this one.
    pub position: u64,
}
