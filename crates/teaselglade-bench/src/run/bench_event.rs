//! Events of the simulation loop.

use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

use crate::engine::CacheEvent;

/// Load report and cache events that a server publishes together.
#[derive(Debug, Clone)]
pub(super) struct ServerSample {
    pub(super) server: usize,
    pub(super) report: ServerReport,
    pub(super) cache_events: Vec<CacheEvent>,
}

/// Event of the simulation loop; numbers are indexes into the collections of [`BenchRun`].
///
/// [`BenchRun`]: super::bench_run::BenchRun
#[derive(Debug, Clone)]
pub(super) enum BenchEvent {
    /// A request arrives at its entry host, or needs another attempt after a loss.
    Place { request: usize },
    /// An entry host tries again to dispatch its queued requests.
    DispatchQueued { entry_host: usize },
    /// An attempt arrives at its server.
    Submit { attempt_index: usize },
    /// A step of a server's engine ends.
    Step { server: usize },
    /// A server samples its load and cache events.
    Sample { server: usize },
    /// The entry hosts receive a sample.
    SampleReceived(ServerSample),
    /// The platform announces that it will reclaim a host.
    ReclaimAnnounced { server: usize },
    /// The entry hosts receive the reclaim notice.
    NoticeReceived { server: usize, deadline: Timestamp },
    /// A reclaimed host stops.
    Stop { server: usize },
    /// A replacement for a stopped host is requested.
    Replace { server: usize },
}
