//! Control daemons as processes in front of the platform's stand-ins.

#![expect(
    clippy::expect_used,
    reason = "a test that cannot set up its processes has to fail"
)]

mod data_centre;
mod faults;
mod settings;
