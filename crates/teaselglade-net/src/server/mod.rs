//! HTTP server, with helpers for request bodies, handlers and responses.

mod connection_activity;
mod counted_body;
mod counted_service;
mod drain;
mod http_server;
mod lingering_stream;
mod open_connections;
mod request_body;
mod response;
mod stateful;

pub use counted_body::CountedBody;
pub use counted_service::CountedService;
pub use drain::{LAST_REQUEST_GRACE, close_listener};
pub use http_server::{HttpServer, ServerHandle, bind_listener, caller_address};
pub use lingering_stream::LingeringStream;
pub use open_connections::OpenConnections;
pub use request_body::{BodyError, read_body};
pub use response::{empty_response, json_response, stream_response, text_response};
pub use stateful::with_state;
