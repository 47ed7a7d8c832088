//! Adapter to backend servers.

mod backend_client;
mod engine_frames;

pub use backend_client::BackendClient;
