//! Listeners for callers and for questions of the platform.

mod admin_listeners;
mod caller_listener;

pub use admin_listeners::AdminListeners;
pub use caller_listener::CallerListener;
