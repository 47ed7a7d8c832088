//! Events by time; events of one time stay in the order in which they were added.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use teaselglade_core::time::Timestamp;

use super::bench_event::BenchEvent;

#[derive(Debug)]
struct QueuedEvent {
    at: Timestamp,
    number: u64,
    event: BenchEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
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
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events by time; events of one time stay in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    number: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Timestamp, event: BenchEvent) {
        self.number += 1;
        self.heap.push(QueuedEvent {
            at,
            number: self.number,
            event,
        });
    }

    pub(super) fn pop(&mut self) -> Option<(Timestamp, BenchEvent)> {
        self.heap.pop().map(|queued| (queued.at, queued.event))
    }
}
