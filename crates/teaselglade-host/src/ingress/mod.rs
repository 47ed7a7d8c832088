//! Listeners for callers, readiness probes and metrics.

mod admin_listeners;
mod caller_listener;
mod placement_endpoint;
mod rollout_endpoint;

pub use admin_listeners::AdminListeners;
pub use caller_listener::CallerListener;
