//! Registry of backend servers: registrations, departures and health.

mod registered_server;
mod server_advice;
mod server_departure;
mod server_health;
mod server_listing;
mod server_registration;
mod server_registry;
mod server_tombstones;
mod store_position;

pub use registered_server::{RegisteredServer, ServerPhase};
pub use server_advice::ServerAdvice;
pub use server_departure::{ServerDeparture, ServerRemoval};
pub use server_health::ServerHealth;
pub use server_listing::ServerListing;
pub use server_registration::{RegistrationState, ServerRegistration};
pub use server_registry::{ServerRegistry, UpdateScope};
pub use store_position::StorePosition;
pub(crate) use store_position::encoded_len;
