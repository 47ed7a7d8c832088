//! Cache events of an engine, with delay and lost events.

use std::collections::VecDeque;
use std::time::Duration;

use teaselglade_wire::{CacheChange, CacheEvent, CacheEvents};
use tokio::time::Instant;

use super::prefix_cache::PrefixChange;

const MAX_RETAINED_EVENTS: usize = 4_096;

/// Publishes cache events after a lag and drops every `loss_interval`-th one.
///
/// Lost events leave gaps in the sequence numbers. A `loss_interval` of 0 drops none.
#[derive(Debug)]
pub(super) struct CacheFeed {
    lag: Duration,
    loss_interval: u64,
    next_sequence: u64,
    retained: VecDeque<(Instant, CacheEvent)>,
}

impl CacheFeed {
    pub(super) fn new(lag: Duration, loss_interval: u64) -> Self {
        Self {
            lag,
            loss_interval,
            next_sequence: 0,
            retained: VecDeque::new(),
        }
    }

    pub(super) fn publish(&mut self, changes: Vec<PrefixChange>) {
        let visible_at = Instant::now() + self.lag;
        for change in changes {
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            let is_lost =
                self.loss_interval > 0 && sequence % self.loss_interval == self.loss_interval - 1;
            if is_lost {
                continue;
            }
            let kind = if change.is_stored {
                CacheChange::Stored
            } else {
                CacheChange::Evicted
            };
            let PrefixChange { prefix, tokens, .. } = change;
            self.retained.push_back((
                visible_at,
                CacheEvent {
                    sequence,
                    change: kind,
                    prefix,
                    tokens,
                },
            ));
        }
        while self.retained.len() > MAX_RETAINED_EVENTS {
            self.retained.pop_front();
        }
    }

    pub(super) fn read(&self, from: u64) -> CacheEvents {
        let now = Instant::now();
        let visible_events = self
            .retained
            .iter()
            .filter(|(visible_at, _)| *visible_at <= now)
            .map(|(_, event)| event);
        let events = visible_events
            .filter(|event| event.sequence >= from)
            .cloned()
            .collect::<Vec<_>>();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        CacheEvents { next, events }
    }
}
