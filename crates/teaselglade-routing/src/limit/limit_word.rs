//! What one response says of its server's limit.

use super::RequestLimit;

/// What one response says of its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitWord {
    /// The response names no limit; one that was named before may have ended.
    #[default]
    Absent,
    /// The server names this limit.
    Named(RequestLimit),
    /// The response names a limit that cannot be read; it changes nothing.
    Unreadable,
}
