//! How many servers are held, where and of which kind.

mod server_autoscaler;

pub use server_autoscaler::{OrderOutcome, ServerAutoscaler, ServerOrder, ZoneCapacity};
