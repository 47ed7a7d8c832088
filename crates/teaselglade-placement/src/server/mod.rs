//! Servers known to one entry host, and their estimated load.

mod load_estimate;
mod server_attributes;
mod server_directory;
mod server_entry;

pub use load_estimate::LoadEstimate;
pub use server_attributes::ServerAttributes;
pub use server_directory::ServerDirectory;
pub use server_entry::{ServerEntry, ServerState};
