//! HTTP server, with helpers for request bodies, handlers and responses.

mod drain;
mod http_server;
mod request_body;
mod response;
mod stateful;

pub use drain::{LAST_REQUEST_GRACE, close_listener, shut_down_connections};
pub use http_server::{HttpServer, ServerHandle, bind_listener, caller_address};
pub use request_body::{BodyError, read_body};
pub use response::{empty_response, json_response, stream_response, text_response};
pub use stateful::with_state;
