//! Tests with control daemons as processes and stand-ins of the platform.

#![expect(
    clippy::expect_used,
    reason = "a test that cannot set up its processes has to fail"
)]

mod data_centre;
mod faults;
mod settings;
