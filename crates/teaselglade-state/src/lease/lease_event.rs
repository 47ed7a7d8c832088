//! What happens to a lease holder and what it asks for.

use bytes::Bytes;
use teaselglade_core::port::LogPage;

use super::LeaseNumber;

/// Who claims a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseIdentity {
    /// Name of the host.
    pub host: String,
    /// Random number of the process's start; no two starts share one.
    pub start: u64,
}

/// What happens to a lease holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time passed.
    Tick,
    /// A read was answered.
    Read(LogPage),
    /// A read failed.
    ReadFailed,
    /// An append was answered.
    Appended,
    /// An append failed, or its answer was lost.
    AppendFailed,
    /// The process stops and has ended its work under the lease.
    Stop,
}

/// What a lease holder asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease stream.
    Read {
        /// First offset to read.
        from: u64,
        /// Most records to read.
        max_records: u32,
    },
    /// Append this record to the lease stream.
    Append(Bytes),
    /// The process holds the lease from now on.
    Gained(LeaseNumber),
    /// The process holds the lease no longer.
    Lost(LeaseNumber),
}
