//! Operators' tool, demo and caller's client.

pub mod caller;
pub mod demo;
