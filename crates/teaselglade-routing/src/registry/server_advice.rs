//! What a server says of itself in a response.

use std::time::Duration;

use crate::limit::LimitWord;

/// Longest rest that a server may ask for; a longer one is cut to this.
///
/// Maintenance and loading of weights take minutes. A number beyond an hour is taken for an error,
/// which must not cost the server for as long as this host runs.
const MAX_REST: Duration = Duration::from_hours(1);

/// What a server says of itself in a response.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_routing::registry::ServerAdvice;
///
/// let advice = ServerAdvice::default().rest(Duration::from_hours(2));
/// assert_eq!(advice.rest_time(), Some(Duration::from_hours(1)));
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
    pub const fn rest(mut self, rest: Duration) -> Self {
        self.rest = Some(rest);
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

    /// Returns for how long the server wants no requests from this host, at most an hour.
    #[must_use]
    pub fn rest_time(&self) -> Option<Duration> {
        self.rest.map(|rest| rest.min(MAX_REST))
    }

    /// Returns the rest that the server asked for, if it is longer than an hour.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselglade_routing::registry::ServerAdvice;
    ///
    /// let rest = Duration::from_hours(2);
    /// assert_eq!(ServerAdvice::default().rest(rest).excessive_rest(), Some(rest));
    /// ```
    #[must_use]
    pub fn excessive_rest(&self) -> Option<Duration> {
        self.rest.filter(|rest| *rest > MAX_REST)
    }
}
