//! Change of a server's limit as a host learns it.

use std::time::Duration;

use super::RequestLimit;

/// Who told a host of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// A response of the server to this host.
    Response,
    /// Another host.
    Peer,
}

impl LimitSource {
    /// Returns the name of the source in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Peer => "peer",
        }
    }
}

/// Change of a server's limit as a host learns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// Incarnation hash of the server.
    pub server: u64,
    /// Limit before; `None` if the server was not limited.
    pub before: Option<RequestLimit>,
    /// Limit now; `None` if it ended.
    pub after: Option<RequestLimit>,
    /// Who told this host.
    pub source: LimitSource,
    /// Age of the response that said so.
    pub age: Duration,
}
