//! The table that this host applies.

use teaselglade_core::table::RoutingTable;

/// One accepted version of the table.
#[derive(Debug, Default)]
pub(crate) struct ActiveTable {
    /// Number of the version; 0 before the first.
    pub(crate) version: u64,
    /// Rows of the version.
    pub(crate) rows: RoutingTable,
}
