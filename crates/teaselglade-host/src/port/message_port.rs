//! Port to the headers of requests and responses.

use std::fmt::{self, Debug};
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};
use teaselglade_routing::engine::PromptShape;
use teaselglade_routing::plain::ServerLoad;
use teaselglade_routing::registry::ServerAdvice;

/// Reason why a message or record cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageError {
    detail: String,
}

impl MessageError {
    /// Creates an error with a human-readable description.
    pub fn new(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
        }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for MessageError {}

/// Fields of a caller's request headers.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Unique id of the caller's attempt.
    pub attempt: String,
    /// Time for which the caller still waits when the request arrives.
    pub caller_timeout: Option<Duration>,
    /// API key of the caller's organisation.
    pub key: Option<String>,
    /// Size and prefix parts of the prompt.
    pub prompt: Option<PromptShape>,
    /// Id of the last stream event that the caller received.
    pub resume_after: Option<u64>,
}

/// Header fields that this system adds to a request forwarded to a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedHead<'a> {
    /// Time left until the deadline of the request.
    pub remaining_time: Duration,
    /// Id of the only server that may run the request.
    pub server: &'a str,
    /// Name of the organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Id of the last stream event that the caller has.
    pub resume_after: Option<u64>,
}

/// Fields of the response headers of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the attempt to which the response belongs.
    pub attempt: Option<String>,
    /// Whether the response has the stamp of the server that ran the request.
    pub has_server_stamp: bool,
    /// Whether the server declares that it did not run the request.
    pub not_run: bool,
    /// Current load of the server.
    pub load: Option<ServerLoad>,
    /// What the server wants of this host.
    pub advice: ServerAdvice,
    /// Names of headers that neither HTTP nor the platform defines.
    pub unknown_headers: Vec<HeaderName>,
}

/// Reads and writes the headers that the platform defines.
pub trait MessagePort: Debug + Send + Sync {
    /// Returns the path of the readiness probe of the platform.
    fn readiness_path(&self) -> &'static str;

    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is malformed or the attempt id is missing.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, MessageError>;

    /// Replaces the headers that only this system may set with its own values.
    fn write_request(&self, headers: &mut HeaderMap, head: &ForwardedHead<'_>);

    /// Returns whether this is the header for the id of a caller's attempt.
    fn is_attempt_header(&self, name: &HeaderName) -> bool;

    /// Returns whether this header must be passed on end to end.
    ///
    /// A caller cannot have such a header dropped as hop-by-hop.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// Parses the response headers of a server.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
}
