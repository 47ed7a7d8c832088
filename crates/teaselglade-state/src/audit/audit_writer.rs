//! Appends entries to the audit stream in batches.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::codec::to_msgpack;
use teaselglade_wire::{AuditBatch, AuditEntry};

/// Limits of one writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuditLimits {
    /// Maximum number of queued entries; further ones are dropped and counted.
    pub max_queue_entries: usize,
    /// Maximum number of entries in one batch.
    pub max_batch_entries: usize,
    /// Minimum interval between appends.
    pub append_interval: Duration,
    /// Delay before a failed batch is appended again.
    pub retry_interval: Duration,
}

impl Default for AuditLimits {
    fn default() -> Self {
        Self {
            max_queue_entries: 4_096,
            max_batch_entries: 256,
            append_interval: Duration::from_secs(1),
            retry_interval: Duration::from_secs(5),
        }
    }
}

/// Input of a writer.
#[derive(Debug, Clone, PartialEq)]
pub enum AuditEvent {
    /// A change to record in the audit trail.
    Recorded(AuditEntry),
    /// Periodic timer; may start an append.
    Tick,
    /// The append was acknowledged.
    Appended,
    /// The append failed or got no response; its record may still have been written.
    AppendFailed,
}

/// Output of a writer, carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuditCommand {
    /// Append this record to the audit stream.
    Append(Bytes),
}

/// Writer of the audit stream with a bounded queue and a bounded append rate.
///
/// A batch without a response is appended again under its sequence number; readers drop duplicates.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::audit::{AuditEvent, AuditLimits, AuditWriter};
///
/// let mut writer = AuditWriter::new("galway-e1/77", AuditLimits::default());
/// assert!(writer.on_event(Timestamp::ZERO, AuditEvent::Tick).is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct AuditWriter {
    writer: String,
    limits: AuditLimits,
    queue: VecDeque<AuditEntry>,
    open_batch: Option<OpenBatch>,
    sequence: u64,
    next_append: Timestamp,
    dropped: u64,
}

/// Batch whose append was not acknowledged yet.
#[derive(Debug, Clone)]
struct OpenBatch {
    body: Bytes,
    in_flight: bool,
}

impl AuditWriter {
    /// Creates a writer; the name `writer` must be unique to one start of a process.
    pub fn new(writer: impl Into<String>, limits: AuditLimits) -> Self {
        Self {
            writer: writer.into(),
            limits,
            queue: VecDeque::new(),
            open_batch: None,
            sequence: 0,
            next_append: Timestamp::ZERO,
            dropped: 0,
        }
    }

    /// Returns the number of entries dropped because the queue was full.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether all queued entries were appended.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.queue.is_empty() && self.open_batch.is_none()
    }

    /// Handles an event and returns the commands to carry out.
    pub fn on_event(&mut self, now: Timestamp, event: AuditEvent) -> Vec<AuditCommand> {
        match event {
            AuditEvent::Recorded(entry) => self.enqueue(entry),
            AuditEvent::Tick => {}
            AuditEvent::Appended => self.open_batch = None,
            AuditEvent::AppendFailed => self.schedule_retry(now),
        }
        self.append_next(now).into_iter().collect()
    }

    fn enqueue(&mut self, entry: AuditEntry) {
        if self.queue.len() >= self.limits.max_queue_entries {
            self.dropped += 1;
            return;
        }
        self.queue.push_back(entry);
    }

    fn schedule_retry(&mut self, now: Timestamp) {
        if let Some(batch) = &mut self.open_batch {
            batch.in_flight = false;
        }
        self.next_append = now + self.limits.retry_interval;
    }

    fn append_next(&mut self, now: Timestamp) -> Option<AuditCommand> {
        if now < self.next_append {
            return None;
        }
        if self.open_batch.is_none() {
            self.open_batch = self.next_batch();
        }
        let batch = self.open_batch.as_mut().filter(|batch| !batch.in_flight)?;
        batch.in_flight = true;
        self.next_append = now + self.limits.append_interval;
        Some(AuditCommand::Append(batch.body.clone()))
    }

    fn next_batch(&mut self) -> Option<OpenBatch> {
        let count = self.limits.max_batch_entries.min(self.queue.len());
        if count == 0 {
            return None;
        }
        self.sequence += 1;
        let batch = AuditBatch {
            writer: self.writer.clone(),
            sequence: self.sequence,
            entries: self.queue.drain(..count).collect(),
        };
        let body = to_msgpack(&batch).ok()?;
        Some(OpenBatch {
            body,
            in_flight: false,
        })
    }
}
