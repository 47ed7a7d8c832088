//! Autoscaling of the servers of a service, by zone and kind.

mod server_autoscaler;

pub use server_autoscaler::{OrderOutcome, ServerAutoscaler, ServerOrder, ZoneStock};
