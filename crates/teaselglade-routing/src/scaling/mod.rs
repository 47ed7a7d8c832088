//! How many servers are held, where and of which kind.

mod fleet_planner;

pub use fleet_planner::{FleetPlanner, OrderOutcome, ServerOrder, ZoneStock};
