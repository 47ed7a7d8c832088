//! One lease per data centre for the control role, decided by the order of records in the log.

mod lease_event;
mod lease_holder;
mod lease_number;
mod lease_replica;
mod lease_timings;
mod rival_tracker;

pub use lease_event::{LeaseAction, LeaseEvent, LeaseIdentity};
pub use lease_holder::LeaseHolder;
pub use lease_number::LeaseNumber;
pub use lease_replica::{LeaseChange, LeaseReplica};
pub use lease_timings::LeaseTimings;
