//! Fleets of stand-ins: the platform services and the backend servers of one cluster.

mod backend_pool;
mod fleet_plan;
mod prices;
mod stand_in_fleet;

pub use backend_pool::BackendPool;
pub use fleet_plan::{FleetPlan, PlannedServer};
pub use prices::{ON_DEMAND_FACTOR, class_cents_per_hour};
pub use stand_in_fleet::{FleetAddresses, FleetPorts, StandInFleet};
