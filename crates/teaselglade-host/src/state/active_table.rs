//! Active version of the route table.

use std::sync::OnceLock;

use bytes::Bytes;
use teaselglade_routing::table::RouteTable;

use crate::port::{PackedTable, PublishedTable};

/// Active version of the route table, as decoded and as published.
#[derive(Debug, Default)]
pub struct ActiveTable {
    /// Decoded table.
    pub table: RouteTable,
    /// Bytes as published.
    pub raw: Bytes,
    packed: OnceLock<PackedTable>,
}

impl ActiveTable {
    /// Creates an active table from a published one.
    #[must_use]
    pub fn new(published: PublishedTable) -> Self {
        Self {
            table: RouteTable::new(published.spec),
            raw: published.raw,
            packed: published.packed.map(OnceLock::from).unwrap_or_default(),
        }
    }

    /// Returns the compressed table; the first call compresses it unless a peer did.
    pub fn packed(&self) -> &PackedTable {
        self.packed.get_or_init(|| PackedTable::pack(&self.raw))
    }
}
