//! HTTP server and the parts of its answers.

mod answer;
mod http_server;

pub use answer::{empty_answer, json_answer, text_answer};
pub use http_server::{HttpServer, ServerHandle};
