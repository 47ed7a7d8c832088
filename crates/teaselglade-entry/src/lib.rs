//! Entry daemon: accepts callers' requests and returns a complete response or a refusal to each.

mod caller_api;
mod directory;
mod handover;
mod host;
mod metrics;
mod peer_api;
mod placement;
mod plain;
mod retry;
mod settings;
mod shared;
mod stream;

pub use host::{DaemonAddresses, DaemonError, EntryDaemon, Result};
pub use settings::EntrySettings;
