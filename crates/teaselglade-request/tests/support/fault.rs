//! Faults of the simulated fleet.

/// Fault to inject into the simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine receives a departure notice and stops when the notice ends.
    Leave { engine: usize, notice_ms: u64 },
    /// An engine stops without notice.
    Kill { engine: usize },
    /// A replacement of an engine starts under the same name.
    Replace { engine: usize },
    /// An engine stops responding on all connections.
    Freeze { engine: usize },
    /// A frozen engine continues.
    Thaw { engine: usize },
    /// Open connections to an engine stop delivering frames; new ones work.
    Silence { engine: usize },
    /// Streams of an engine close without an end frame.
    Cut { engine: usize },
    /// Moves of KV caches from or to an engine fail.
    RefuseKv { engine: usize },
    /// The next frame of an engine arrives twice.
    Duplicate { engine: usize },
    /// The next frame of an engine is lost.
    Lose { engine: usize },
    /// The next frame of an engine arrives after later ones.
    Delay { engine: usize },
    /// The next frame of an engine also arrives at another request.
    Misroute { engine: usize },
    /// An entry host receives a departure notice.
    HostLeave { host: usize, notice_ms: u64 },
    /// An entry host stops without notice.
    HostCrash { host: usize },
    /// An entry host is paused for the given time.
    HostPause { host: usize, pause_ms: u64 },
    /// The next replies to offers of a leaving entry host are lost after the peer applied them.
    LoseReplies { host: usize, count: u32 },
    /// A caller's connection breaks.
    DropCaller { caller: usize },
}
