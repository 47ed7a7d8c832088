//! State shared by the components of a host.

mod active_table;
mod crash_state;
mod decision_state;
mod host_ports;
mod host_state;
mod limit_state;
mod news_state;
mod peer_demand;
mod permit_step;
mod rollout_state;
mod share_update;
mod speed_sharing;
mod zone_state;

pub use active_table::ActiveTable;
pub use decision_state::DecisionState;
pub use host_ports::HostPorts;
pub use host_state::HostState;
pub use news_state::DigestNews;
pub use permit_step::PermitStep;
