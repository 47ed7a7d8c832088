//! The control role: which hosts to order, engines to load and servers to drain.

mod absence_tracker;
mod backoff;
mod control_event;
mod control_limits;
mod control_options;
mod control_planner;
mod engine_planner;
mod engine_record;
mod entry_builder;
mod fleet_view;
mod host_slot;
mod list_schedule;
mod offer_selector;
mod removal_planner;
mod slot_allocation;
mod slot_planner;
mod weight_reservations;

pub use control_event::{ControlAction, ControlEvent, ControlTerm};
pub use control_limits::ControlLimits;
pub use control_options::{ControlOptions, EngineProfile, HostOffer, RoleShare};
pub use control_planner::ControlPlanner;
pub use host_slot::HostSlot;
