//! What a server says of itself in a response.

use std::time::Duration;

use crate::limit::LimitWord;

/// Longest rest that a server may ask for; a longer one is cut to this.
const MAX_REST: Duration = Duration::from_secs(30);

/// What a server says of itself in a response.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_routing::registry::ServerAdvice;
///
/// let advice = ServerAdvice::default().rest(Duration::from_secs(90));
/// assert_eq!(advice.rest_time(), Some(Duration::from_secs(30)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerAdvice {
    /// Whether the server leaves and takes no new requests.
    pub is_leaving: bool,
    /// Whether the response carries advice that cannot be read and is ignored.
    pub is_unreadable: bool,
    /// What the response says of the server's limit.
    pub limit: LimitWord,
    rest: Option<Duration>,
}

impl ServerAdvice {
    /// Sets that the server leaves.
    #[must_use]
    pub const fn leaving(mut self) -> Self {
        self.is_leaving = true;
        self
    }

    /// Sets for how long the server wants no requests from this host.
    #[must_use]
    pub fn rest(mut self, rest: Duration) -> Self {
        self.rest = Some(rest.min(MAX_REST));
        self
    }

    /// Sets what the response says of the server's limit.
    #[must_use]
    pub const fn limit(mut self, word: LimitWord) -> Self {
        self.limit = word;
        self
    }

    /// Sets that advice cannot be read.
    #[must_use]
    pub const fn unreadable(mut self) -> Self {
        self.is_unreadable = true;
        self
    }

    /// Returns for how long the server wants no requests from this host, at most 30 s.
    #[must_use]
    pub const fn rest_time(&self) -> Option<Duration> {
        self.rest
    }
}
