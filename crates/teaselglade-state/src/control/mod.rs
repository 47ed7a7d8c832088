//! Work of the control role: hosts to order, engines to load, servers to drain.

mod absent_watch;
mod back_off;
mod control_event;
mod control_limits;
mod control_options;
mod control_planner;
mod engine_planner;
mod engine_record;
mod entry_author;
mod fleet_view;
mod host_slot;
mod list_schedule;
mod offer_market;
mod removal_planner;
mod service_roster;
mod slot_planner;
mod weight_queue;

pub use control_event::{ControlAction, ControlEvent, ControlTerm};
pub use control_limits::ControlLimits;
pub use control_options::{ControlOptions, EngineProfile, HostOffer, RoleShare};
pub use control_planner::ControlPlanner;
pub use host_slot::HostSlot;
