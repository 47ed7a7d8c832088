//! Active version of the route table.

use bytes::Bytes;
use teaselglade_routing::table::RouteTable;

/// Active version of the route table, as decoded and as published.
#[derive(Debug, Default)]
pub struct ActiveTable {
    /// Decoded table.
    pub table: RouteTable,
    /// Bytes as published, passed on to peers that fetch the table.
    pub raw: Bytes,
}
