//! Identifier of a caller's connection.

/// Identifies one connection of a request's caller; later connections compare greater.
///
/// # Examples
///
/// ```
/// use teaselglade_request::stream::CallerSession;
///
/// assert!(CallerSession::default().next() > CallerSession::default());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallerSession(u32);

impl CallerSession {
    /// Returns the session that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
