//! HTTP API for callers.

mod caller_routes;
mod generate_route;
mod plain_route;
mod refusal_response;
mod request_context;
mod resume_route;
mod stream_response;

pub(crate) use caller_routes::caller_router;
pub(crate) use refusal_response::error_body;
