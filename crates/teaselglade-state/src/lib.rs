//! State machines for shared state: table versions, membership, leases, control and audit.
//!
//! None of them performs I/O: the daemons pass events in and carry out the returned actions.

pub mod audit;
pub mod control;
pub mod lease;
pub mod membership;
pub mod table;
