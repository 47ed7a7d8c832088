//! The version of the table that a host serves by.

use bytes::Bytes;
use teaselglade_routing::table::RouteTable;

/// The version of the table that a host serves by.
#[derive(Debug, Default)]
pub struct ActiveTable {
    /// Content.
    pub table: RouteTable,
    /// Bytes as published, for peers.
    pub raw: Bytes,
}
