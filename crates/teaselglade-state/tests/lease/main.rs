//! Tests of leases.

mod cluster;
mod properties;
mod single;
