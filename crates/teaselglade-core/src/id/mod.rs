//! Keys, names and ids of hosts, servers, services, organisations and requests.

mod attempt_id;
mod host_name;
mod keys;
mod name_arena;
mod request_id;

pub use attempt_id::AttemptId;
pub use host_name::{HostIncarnation, HostName};
pub use keys::{ClassKey, HostKey, OrganisationKey, ServerKey, ServiceKey, ZoneKey};
pub use name_arena::NameArena;
pub use request_id::{RequestId, RequestIdError};
