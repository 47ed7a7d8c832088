//! Port to the headers of requests and answers.

use std::fmt::{self, Debug};
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName};
use teaselglade_routing::engine::PromptShape;
use teaselglade_routing::plain::ServerLoad;

/// A message or record that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageError {
    detail: String,
}

impl MessageError {
    /// Makes an error that says to a person what was wrong.
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

/// What a caller says of its request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Id of this attempt of the caller; no two attempts share one.
    pub attempt: String,
    /// How long the caller waits, from now.
    pub caller_timeout: Option<Duration>,
    /// Key of the caller's organisation.
    pub key: Option<String>,
    /// Size and parts of the prompt.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller of a stream has.
    pub resume_after: Option<u64>,
}

/// What this system adds to a request on its way to a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedHead<'a> {
    /// Time that is left.
    pub remaining_time: Duration,
    /// Server that alone may run the request.
    pub server: &'a str,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Last event that was passed on.
    pub resume_after: Option<u64>,
}

/// What a server says with its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Attempt that the answer belongs to.
    pub attempt: Option<String>,
    /// Whether the answer bears the mark of the server that ran the request.
    pub has_server_stamp: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Load of the server.
    pub load: Option<ServerLoad>,
}

/// Headers of requests and answers as the platform names them.
pub trait MessagePort: Debug + Send + Sync {
    /// Returns the path at which the platform asks whether this host is ready.
    fn readiness_path(&self) -> &'static str;

    /// Reads what a caller says of its request.
    ///
    /// # Errors
    ///
    /// Fails where a header cannot be read or the request has no id.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, MessageError>;

    /// Replaces what only this system may set by what it sets.
    fn write_request(&self, headers: &mut HeaderMap, head: &ForwardedHead<'_>);

    /// Returns whether this header bears the id of a caller's attempt.
    fn is_attempt_header(&self, name: &HeaderName) -> bool;

    /// Returns whether a caller must not have this header dropped on the way.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// Reads what a server says with its answer.
    fn read_response(&self, headers: &HeaderMap) -> ResponseHead;
}
