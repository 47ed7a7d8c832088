//! Tests of the control role.

mod engines;
mod fleet;
mod hosts;
mod platform;
mod properties;
