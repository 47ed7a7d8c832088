//! What callers ask of this host, by HTTP.

mod caller_routes;
mod generate_route;
mod plain_route;
mod refusal_answer;
mod request_context;
mod resume_route;
mod stream_answer;

pub(crate) use caller_routes::caller_router;
pub(crate) use refusal_answer::error_body;
