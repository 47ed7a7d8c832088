//! Servers that one entry host knows, and their load as far as it knows it.

mod load_view;
mod server_directory;
mod server_entry;
mod server_facts;

pub use load_view::LoadView;
pub use server_directory::ServerDirectory;
pub use server_entry::{ServerEntry, ServerState};
pub use server_facts::ServerFacts;
