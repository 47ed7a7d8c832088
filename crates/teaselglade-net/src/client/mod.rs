//! HTTP client that reports how far a failed request was sent.

mod body_reader;
mod call_error;
mod final_status;
mod http_client;

pub use call_error::CallError;
pub use final_status::is_final_status;
pub use http_client::{HttpClient, HttpRequest, HttpResponse};

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, CallError>;
