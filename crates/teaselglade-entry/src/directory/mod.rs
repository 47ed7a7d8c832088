//! Directory of backend servers and entry hosts, read from the host list.

mod backend_directory;
mod host_list_poller;
mod server_entry;

pub(crate) use backend_directory::BackendDirectory;
pub(crate) use host_list_poller::{ASSUMED_NOTICE_TIME, poll_host_list};
pub(crate) use server_entry::ServerEntry;
