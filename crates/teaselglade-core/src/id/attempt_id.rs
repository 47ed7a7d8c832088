//! Id of one dispatch of a request to a backend server.

use serde::{Deserialize, Serialize};

use super::RequestId;

/// Id of one dispatch of a request to a backend server.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{AttemptId, RequestId};
///
/// let first = AttemptId::first(RequestId::from_bits(7));
/// assert_ne!(first, first.next());
/// assert_eq!(first.request, first.next().request);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request, from 1.
    pub number: u32,
}

impl AttemptId {
    /// Returns the id of the first attempt of `request`.
    #[must_use]
    pub const fn first(request: RequestId) -> Self {
        Self { request, number: 1 }
    }

    /// Returns the id of the next attempt of the same request.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            request: self.request,
            number: self.number + 1,
        }
    }
}
