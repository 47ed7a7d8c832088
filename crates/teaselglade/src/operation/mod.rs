//! What operators do, as calls on the ports.

mod audit_feed;
mod fleet_survey;
mod table_client;

pub use audit_feed::AuditFeed;
pub use fleet_survey::{FleetSurvey, HostReport};
pub use table_client::{TableClient, TableOrder};
