//! State of a lease, derived from its stream.

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_wire::LeaseRecord;
use teaselglade_wire::codec::from_msgpack;

use super::LeaseNumber;

/// Effect of one record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseChange {
    /// A claim was written at the offset that it named, so the lease has a new holder.
    Granted {
        /// Fencing number of the new lease.
        number: LeaseNumber,
        /// Host that holds the lease.
        holder: String,
        /// Start number of the holder's process.
        start: u64,
        /// Sequence number of the append within that process.
        sequence: u64,
    },
    /// The holder renewed its lease.
    Renewed {
        /// Start number of the holder's process.
        start: u64,
        /// Sequence number of the append within that process.
        sequence: u64,
    },
    /// A process released the lease and will never hold it again.
    Released {
        /// Start number of that process.
        start: u64,
    },
    /// A record was written too late to take effect, or its effect is unknown.
    Ineffective {
        /// Start number of the process that appended it.
        start: u64,
    },
    /// The log dropped records before they were read.
    Gap,
    /// A record is not a valid lease record.
    Malformed,
}

/// Lease granted by the latest grant that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct GrantedLease {
    number: LeaseNumber,
    start: u64,
}

/// Replica of one lease stream.
///
/// All replicas agree on whether a grant takes effect, wherever they start to read.
///
/// # Examples
///
/// ```
/// use teaselglade_core::port::{LogPage, LogRecord};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::lease::{LeaseNumber, LeaseReplica};
/// use teaselglade_wire::{LeaseRecord, codec::to_msgpack};
///
/// let grant = LeaseRecord::Grant { at: 9, holder: "galway-e1".into(), sequence: 1, start: 5 };
/// let body = to_msgpack(&grant)?;
/// let record = LogRecord { offset: 9, appended: Timestamp::ZERO, body };
/// let mut replica = LeaseReplica::default();
/// replica.on_page(&LogPage { first: 9, end: 10, records: vec![record] });
/// assert_eq!(replica.number(), Some(LeaseNumber(9)));
/// # Ok::<(), teaselglade_wire::codec::CodecError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct LeaseReplica {
    next_offset: u64,
    lease: Option<GrantedLease>,
}

impl LeaseReplica {
    /// Returns the offset to read from next.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the fencing number of the latest grant that was read, unless it was released.
    #[must_use]
    pub fn number(&self) -> Option<LeaseNumber> {
        self.lease.map(|lease| lease.number)
    }

    /// Returns the fencing number of the lease if the process with this start number holds it.
    #[must_use]
    pub fn number_held_by(&self, start: u64) -> Option<LeaseNumber> {
        let held = self.lease.filter(|lease| lease.start == start);
        held.map(|lease| lease.number)
    }

    /// Skips all records below `offset` and forgets the lease if any were skipped.
    pub fn skip_to(&mut self, offset: u64) {
        if offset > self.next_offset {
            self.next_offset = offset;
            self.lease = None;
        }
    }

    /// Applies a page of the stream and returns the effects of its new records.
    pub fn on_page(&mut self, page: &LogPage) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        if page.first > self.next_offset {
            self.skip_to(page.first);
            changes.push(LeaseChange::Gap);
        }
        for record in &page.records {
            if record.offset < self.next_offset {
                continue;
            }
            self.skip_to(record.offset);
            self.next_offset = record.offset + 1;
            changes.push(self.apply(record));
        }
        changes
    }

    fn apply(&mut self, record: &LogRecord) -> LeaseChange {
        match from_msgpack::<LeaseRecord>(&record.body) {
            Ok(LeaseRecord::Grant {
                at,
                holder,
                sequence,
                start,
            }) => self.grant(record.offset, at, holder, start, sequence),
            Ok(LeaseRecord::Renew {
                number,
                sequence,
                start,
            }) => self.renew(LeaseNumber(number), start, sequence),
            Ok(LeaseRecord::Release { start, .. }) => self.release(start),
            Err(_malformed) => LeaseChange::Malformed,
        }
    }

    fn grant(
        &mut self,
        offset: u64,
        at: u64,
        holder: String,
        start: u64,
        sequence: u64,
    ) -> LeaseChange {
        if offset != at {
            return LeaseChange::Ineffective { start };
        }
        let number = LeaseNumber(offset);
        self.lease = Some(GrantedLease { number, start });
        LeaseChange::Granted {
            number,
            holder,
            start,
            sequence,
        }
    }

    fn renew(&self, number: LeaseNumber, start: u64, sequence: u64) -> LeaseChange {
        if self.number_held_by(start) == Some(number) {
            return LeaseChange::Renewed { start, sequence };
        }
        LeaseChange::Ineffective { start }
    }

    fn release(&mut self, start: u64) -> LeaseChange {
        if self.number_held_by(start).is_some() {
            self.lease = None;
        }
        LeaseChange::Released { start }
    }
}
