//! Settings of the control daemon.

mod control_settings;
mod fleet_settings;
mod lease_settings;

pub use control_settings::ControlSettings;
