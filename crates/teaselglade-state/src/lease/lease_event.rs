//! Inputs and outputs of a lease holder.

use bytes::Bytes;
use teaselglade_core::port::LogPage;

use super::LeaseNumber;

/// Identifies one process that claims a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseIdentity {
    /// Name of the host that runs the process.
    pub host: String,
    /// Random number drawn at process start; it differs between any two starts.
    pub start: u64,
}

/// Input of a lease holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Periodic timer; may start a read or an append.
    Tick,
    /// A read returned this page.
    Read(LogPage),
    /// A read failed.
    ReadFailed,
    /// An append was acknowledged.
    Appended,
    /// An append failed or got no response; its record may still have been written.
    AppendFailed,
    /// The process is stopping and has finished its work under the lease.
    Stop,
}

/// Output of a lease holder, carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease stream.
    Read {
        /// First offset to read.
        from: u64,
        /// Maximum number of records to read.
        max_records: u32,
    },
    /// Append this record to the lease stream.
    Append(Bytes),
    /// The process now holds the lease with this fencing number.
    Gained(LeaseNumber),
    /// The process no longer holds the lease with this fencing number.
    Lost(LeaseNumber),
}
