//! What a host knows of the servers of the version before an order.

/// What a host knows of the servers that run another version than the target of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OldServers {
    /// Neither this host nor another one named any since the order.
    Unseen,
    /// There are some, or there were and this host did not see where they went.
    Known,
    /// This host saw that the last ones drain or left.
    Left,
}
