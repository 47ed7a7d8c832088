//! Autoscaling: how many servers are held, in which zones and of which kind.

mod server_autoscaler;

pub use server_autoscaler::{OrderOutcome, ServerAutoscaler, ServerOrder, ZoneCapacity};
