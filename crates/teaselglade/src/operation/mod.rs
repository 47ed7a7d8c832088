//! What operators do, as calls on the ports.

mod audit_feed;
mod fleet_survey;
mod request_story;
mod table_client;

pub use audit_feed::AuditFeed;
pub use fleet_survey::{FleetSurvey, HostReport};
pub use request_story::{HostLine, RequestStory};
pub use table_client::{TableClient, TableOrder};
