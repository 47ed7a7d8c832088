//! The backend servers that a host knows.

mod fleet_view;
mod server_health;
mod server_sheet;

pub use fleet_view::{Departure, FleetView, KnownServer, NewsScope, ServerPhase};
pub use server_health::ServerHealth;
pub use server_sheet::{ServerSheet, SheetState};
