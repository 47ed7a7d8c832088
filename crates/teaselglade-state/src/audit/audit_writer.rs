//! Appends entries to the audit trail in batches.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::codec::to_msgpack;
use teaselglade_wire::{AuditBatch, AuditEntry};

/// Bounds of one writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuditLimits {
    /// Most entries that wait; later ones are dropped and counted.
    pub max_queue_entries: usize,
    /// Most entries of one batch.
    pub max_batch_entries: usize,
    /// Shortest time between two appends.
    pub append_interval: Duration,
    /// Time before a batch without an answer is appended again.
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

/// What happens to a writer.
#[derive(Debug, Clone, PartialEq)]
pub enum AuditEvent {
    /// A change was made.
    Recorded(AuditEntry),
    /// Time passed.
    Tick,
    /// The append was answered with an offset.
    Appended,
    /// The append failed, or its answer was lost.
    AppendFailed,
}

/// What a writer asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuditCommand {
    /// Append this record to the audit stream.
    Append(Bytes),
}

/// Writer of the audit stream with a bounded queue and a bounded rate of appends.
///
/// A batch whose answer was lost is appended again under its number; readers drop the repeated one.
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
    open: Option<OpenBatch>,
    sequence: u64,
    next_append: Timestamp,
    dropped: u64,
}

/// Batch that has no answer yet.
#[derive(Debug, Clone)]
struct OpenBatch {
    body: Bytes,
    in_flight: bool,
}

impl AuditWriter {
    /// Makes a writer; `writer` must be unique for each start of a process.
    pub fn new(writer: impl Into<String>, limits: AuditLimits) -> Self {
        Self {
            writer: writer.into(),
            limits,
            queue: VecDeque::new(),
            open: None,
            sequence: 0,
            next_append: Timestamp::ZERO,
            dropped: 0,
        }
    }

    /// Returns how many entries were dropped because the queue was full.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether every entry is appended.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.queue.is_empty() && self.open.is_none()
    }

    /// Takes an event and returns what to do.
    pub fn on_event(&mut self, now: Timestamp, event: AuditEvent) -> Vec<AuditCommand> {
        match event {
            AuditEvent::Recorded(entry) => self.enqueue(entry),
            AuditEvent::Tick => {}
            AuditEvent::Appended => self.open = None,
            AuditEvent::AppendFailed => self.note_failure(now),
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

    fn note_failure(&mut self, now: Timestamp) {
        if let Some(batch) = &mut self.open {
            batch.in_flight = false;
        }
        self.next_append = now + self.limits.retry_interval;
    }

    fn append_next(&mut self, now: Timestamp) -> Option<AuditCommand> {
        if now < self.next_append {
            return None;
        }
        if self.open.is_none() {
            self.open = self.next_batch();
        }
        let batch = self.open.as_mut().filter(|batch| !batch.in_flight)?;
        batch.in_flight = true;
        self.next_append = now + self.limits.append_interval;
        Some(AuditCommand::Append(batch.body.clone()))
    }

    fn next_batch(&mut self) -> Option<OpenBatch> {
        let most = self.limits.max_batch_entries.min(self.queue.len());
        if most == 0 {
            return None;
        }
        self.sequence += 1;
        let batch = AuditBatch {
            writer: self.writer.clone(),
            sequence: self.sequence,
            entries: self.queue.drain(..most).collect(),
        };
        let body = to_msgpack(&batch).ok()?;
        Some(OpenBatch {
            body,
            in_flight: false,
        })
    }
}
