//! Servers that one entry host knows, and their load as far as it knows it.

mod load_estimate;
mod server_attributes;
mod server_directory;
mod server_entry;

pub use load_estimate::LoadEstimate;
pub use server_attributes::ServerAttributes;
pub use server_directory::ServerDirectory;
pub use server_entry::{ServerEntry, ServerState};
