//! Calls to plain servers that need no claim.

mod plain_event;
mod plain_machine;
mod retry_permit;

pub use plain_event::{PlainAction, PlainEvent};
pub use plain_machine::{PlainMachine, RetrySafety};
pub use retry_permit::{PermitDecision, RetryPermit};
