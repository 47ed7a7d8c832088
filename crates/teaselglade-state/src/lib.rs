//! Decisions on shared state: table versions, membership, leases.

pub mod audit;
pub mod control;
pub mod lease;
pub mod membership;
pub mod table;
