//! Backend servers and entry hosts that this host knows.

mod backend_directory;
mod host_list_follower;
mod server_entry;

pub(crate) use backend_directory::BackendDirectory;
pub(crate) use host_list_follower::{ASSUMED_NOTICE, follow_host_list};
pub(crate) use server_entry::ServerEntry;
