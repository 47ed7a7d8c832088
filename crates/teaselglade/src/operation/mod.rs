//! Operators' actions, carried out over the platform's ports.

mod audit_client;
mod fleet_status;
mod request_timeline;
mod table_client;

pub use audit_client::AuditClient;
pub use fleet_status::{FleetStatus, HostReport};
pub use request_timeline::{HostLogLine, RequestTimeline};
pub use table_client::{PublishRequest, TableClient};
