//! Queue of events, ordered by time and then by insertion.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use teaselglade_core::time::Timestamp;

use super::bench_event::BenchEvent;

#[derive(Debug)]
struct QueuedEvent {
    at: Timestamp,
    sequence: u64,
    event: BenchEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of events, ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Timestamp, event: BenchEvent) {
        self.sequence += 1;
        self.heap.push(QueuedEvent {
            at,
            sequence: self.sequence,
            event,
        });
    }

    pub(super) fn pop(&mut self) -> Option<(Timestamp, BenchEvent)> {
        self.heap.pop().map(|queued| (queued.at, queued.event))
    }
}
