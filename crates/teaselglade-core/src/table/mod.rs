//! Routing table, which operators edit and publish.

mod organisation_row;
mod routing_table;
mod service_row;
mod table_error;
mod table_parser;

pub use organisation_row::OrganisationRow;
pub use routing_table::RoutingTable;
pub use service_row::{ServiceKind, ServiceRow};
pub use table_error::{TableError, TableFault};
pub use table_parser::{COLUMNS, parse_table};

/// Result of parsing a table.
pub type Result<T> = std::result::Result<T, TableError>;
