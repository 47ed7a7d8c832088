//! Decisions on placement, limits and admission.
//!
//! [`policy::ServerPlacer`] tracks the servers known to one entry host and places requests by a
//! [`policy::PlacementPolicy`]. [`cost`] has the policy that the daemons use, [`baseline`] the
//! policies it is compared with. Nothing in this crate performs I/O or reads a clock.

pub mod admission;
pub mod baseline;
pub mod cost;
pub mod limit;
pub mod policy;
pub mod server;
pub mod subset;
