//! Generated traffic of a fleet.

mod request_plan;
mod traffic_plan;

pub use request_plan::RequestPlan;
pub(crate) use traffic_plan::RUSH_WINDOW;
pub use traffic_plan::{RequestKind, TrafficPlan};
