//! Requests that this host has taken and not yet answered to the end.

mod open_request;
mod request_arena;
mod request_guard;
mod request_stage;

pub use open_request::OpenRequest;
pub use request_arena::{RequestArena, RequestKey};
pub use request_guard::RequestGuard;
pub use request_stage::RequestStage;
