//! Registry of backend servers: registrations, departures and health.

mod server_advice;
mod server_health;
mod server_registration;
mod server_registry;

pub use server_advice::ServerAdvice;
pub use server_health::ServerHealth;
pub use server_registration::{RegistrationState, ServerRegistration};
pub use server_registry::{
    RegisteredServer, ServerDeparture, ServerPhase, ServerRegistry, UpdateScope,
};
