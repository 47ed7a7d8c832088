//! HTTP client that reports how far a failed request was sent.

mod body_reader;
mod call_error;
mod http_client;
mod response_head;

pub use call_error::CallError;
pub use http_client::{HttpClient, HttpRequest, HttpResponse};
pub use response_head::{check_response_head, is_final_status};

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, CallError>;
