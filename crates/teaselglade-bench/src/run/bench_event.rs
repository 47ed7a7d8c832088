//! Events of the loop.

use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

use crate::engine::CacheNote;

/// What a server publishes at once.
#[derive(Debug, Clone)]
pub(super) struct ServerFeedback {
    pub(super) server: usize,
    pub(super) report: ServerReport,
    pub(super) notes: Vec<CacheNote>,
}

/// Events of the loop; numbers are indexes of the run's requests, attempts and servers.
#[derive(Debug, Clone)]
pub(super) enum BenchEvent {
    /// A request arrives at an entry host, or comes back for its next attempt.
    Place { request: usize },
    /// An entry host tries its waiting requests again.
    Pump { entry: usize },
    /// An attempt reaches its server.
    Submit { ticket: usize },
    /// A server's step ends.
    Step { server: usize },
    /// A server samples its load.
    Sample { server: usize },
    /// The entry hosts read a sample.
    Feedback(ServerFeedback),
    /// The platform announces that it takes a host back.
    Notice { server: usize },
    /// The entry hosts learn of the notice.
    Learn { server: usize, deadline: Timestamp },
    /// A host stops.
    Stop { server: usize },
    /// A replacement for a host is ordered.
    Replace { server: usize },
}
