//! Decisions on placement, limits and admission.
//!
//! [`policy::ServerPlacer`] holds the servers that one entry host knows and asks a
//! [`policy::PlacementPolicy`] where a request goes. [`baseline`] has the policies to compare
//! with, [`cost`] the one that daemons use. Nothing here does I/O or reads a clock.

pub mod admission;
pub mod baseline;
pub mod cost;
pub mod limit;
pub mod policy;
pub mod server;
pub mod subset;
