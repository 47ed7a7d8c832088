//! Active version of the table.

use teaselglade_core::table::RoutingTable;

/// Holds the version of the table that this host applies.
#[derive(Debug, Default)]
pub(crate) struct ActiveTable {
    /// Version number; 0 before the first version.
    pub(crate) version: u64,
    /// Rows of this version.
    pub(crate) rows: RoutingTable,
}
