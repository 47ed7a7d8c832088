//! Counts of what a shard's machine did.

/// Counts of what a shard's machine did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimCounters {
    /// Records appended or tried to append.
    pub appends: u64,
    /// Entries in those records.
    pub entries: u64,
    /// Reads started.
    pub reads: u64,
    /// Calls dispatched.
    pub dispatches: u64,
    /// Claims withdrawn.
    pub withdrawals: u64,
    /// Answers replayed from an earlier call.
    pub replays: u64,
    /// Calls refused because the log could not be used.
    pub log_refusals: u64,
    /// Entries given up because the key's window passed or the outbox was full.
    pub dropped_entries: u64,
}
