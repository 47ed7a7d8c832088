//! HTTP client that knows how far a failed call got.

mod call_error;
mod http_client;

pub use call_error::CallError;
pub use http_client::{HttpClient, HttpRequest, HttpResponse};

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, CallError>;
