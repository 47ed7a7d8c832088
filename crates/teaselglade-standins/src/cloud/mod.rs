//! Stand-in for the cloud API.

mod cloud_register;
mod cloud_server;

pub use cloud_register::{CloudRegister, HostStarter};
pub use cloud_server::cloud_router;
