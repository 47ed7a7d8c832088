//! Failures that a world can bring about.

/// Failure that a world brings about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine is told to leave and dies at the end of the notice.
    Leave { engine: usize, notice_ms: u64 },
    /// An engine dies at once.
    Kill { engine: usize },
    /// A replacement of an engine starts under its name.
    Back { engine: usize },
    /// An engine stops answering on all connections.
    Freeze { engine: usize },
    /// A frozen engine goes on.
    Thaw { engine: usize },
    /// Open connections to an engine go silent for good; new ones work.
    Silence { engine: usize },
    /// Streams of an engine close without an end.
    Cut { engine: usize },
    /// Moves of KV caches from or to the engine fail.
    RefuseKv { engine: usize },
    /// The next frame of an engine arrives twice.
    Duplicate { engine: usize },
    /// The next frame of an engine is lost.
    Lose { engine: usize },
    /// The next frame of an engine arrives after later ones.
    Delay { engine: usize },
    /// The next frame of an engine arrives at another request too.
    Misroute { engine: usize },
    /// An entry host is told to leave.
    HostLeave { host: usize, notice_ms: u64 },
    /// An entry host dies at once.
    HostCrash { host: usize },
    /// An entry host does nothing for a while.
    HostPause { host: usize, pause_ms: u64 },
    /// The next answers to offers of a leaving entry host are lost after their effect.
    LoseReplies { host: usize, count: u32 },
    /// A caller's connection is cut.
    DropCaller { caller: usize },
}
