//! Listeners for callers and for questions of the platform.

mod caller_listener;
mod side_listeners;

pub use caller_listener::CallerListener;
pub use side_listeners::SideListeners;
