//! Chooses backend servers for requests.

mod load_chooser;
mod server_chooser;

pub(crate) use load_chooser::LoadChooser;
pub(crate) use server_chooser::ServerChooser;
