//! Adapters to backend servers.

mod backend_client;
mod engine_client;
mod engine_frames;

pub use backend_client::BackendClient;
pub use engine_client::EngineClient;
