//! Counters of one shard's state machine.

/// Counters of one shard's state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimCounters {
    /// Append requests issued, including failed ones.
    pub appends: u64,
    /// Entries in those requests.
    pub entries: u64,
    /// Read requests issued.
    pub reads: u64,
    /// Attempts dispatched to backend servers, including retries.
    pub dispatches: u64,
    /// Claims withdrawn with a settle record.
    pub withdrawals: u64,
    /// Calls whose result was the stored outcome of an earlier call.
    pub replays: u64,
    /// Calls refused because no claim could be confirmed in the log.
    pub log_refusals: u64,
    /// Entries dropped because their key expired or the outbox was full.
    pub dropped_entries: u64,
}
