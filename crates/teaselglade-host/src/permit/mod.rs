//! Permits to send to servers that named a limit.

mod permit_desk;
mod send_permit;

pub use permit_desk::{OutgoingMessage, PermitDesk};
pub(crate) use send_permit::give_back;
pub use send_permit::{PermitDenied, SendPermit, request_permit};
