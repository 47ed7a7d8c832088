//! HTTP server and the parts of its answers.

mod answer;
mod http_server;
mod request_body;
mod stateful;

pub use answer::{empty_answer, json_answer, stream_answer, text_answer};
pub use http_server::{HttpServer, ServerHandle, bind_listener, caller_address};
pub use request_body::{BodyError, read_body};
pub use stateful::with_state;
