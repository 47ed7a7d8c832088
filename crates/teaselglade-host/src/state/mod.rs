//! What the parts of a host share.

mod decisions;
mod host_ports;
mod host_state;
mod table_in_force;

pub use decisions::Decisions;
pub use host_ports::HostPorts;
pub use host_state::HostState;
pub use table_in_force::TableInForce;
