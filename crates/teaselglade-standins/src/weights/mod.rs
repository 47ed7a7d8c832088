//! Stand-in for the rate-limited weight store.

mod weight_server;

pub use weight_server::weight_router;
