//! Calls to plain servers.

mod booking_register;
mod plain_order;
mod plain_task;
mod service_permit;
mod shard_driver;

pub(crate) use booking_register::BookingRegister;
pub(crate) use plain_order::PlainOrder;
pub(crate) use plain_task::run_plain;
