//! Configuration of a benchmark: fleet, policies and seeds.

mod bench_plan;
mod fleet_choice;
mod fleet_plan;
mod policy_choice;

pub use bench_plan::BenchPlan;
pub use fleet_choice::FleetChoice;
pub use fleet_plan::{FleetPlan, ServerPlan, ZonePlan};
pub use policy_choice::PolicyChoice;
