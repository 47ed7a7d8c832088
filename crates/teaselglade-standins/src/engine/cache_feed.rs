//! Cache events, published late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use teaselglade_wire::{CacheChange, CacheEvent, CacheEvents};
use tokio::time::Instant;

use super::prefix_cache::PrefixChange;

const MAX_KEPT: usize = 4_096;

/// Cache events, published late and with gaps.
#[derive(Debug)]
pub(super) struct CacheFeed {
    lag: Duration,
    gap_every: u64,
    next: u64,
    kept: VecDeque<(Instant, CacheEvent)>,
}

impl CacheFeed {
    pub(super) fn new(lag: Duration, gap_every: u64) -> Self {
        Self {
            lag,
            gap_every,
            next: 0,
            kept: VecDeque::new(),
        }
    }

    pub(super) fn publish(&mut self, changes: Vec<PrefixChange>) {
        let due = Instant::now() + self.lag;
        for change in changes {
            let sequence = self.next;
            self.next += 1;
            let is_lost = self.gap_every > 0 && sequence % self.gap_every == self.gap_every - 1;
            if is_lost {
                continue;
            }
            let kind = if change.stored {
                CacheChange::Stored
            } else {
                CacheChange::Evicted
            };
            let PrefixChange { prefix, tokens, .. } = change;
            self.kept.push_back((
                due,
                CacheEvent {
                    sequence,
                    change: kind,
                    prefix,
                    tokens,
                },
            ));
        }
        while self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
        }
    }

    pub(super) fn read(&self, from: u64) -> CacheEvents {
        let now = Instant::now();
        let due = self
            .kept
            .iter()
            .filter(|(due, _)| *due <= now)
            .map(|(_, event)| event);
        let events = due
            .filter(|event| event.sequence >= from)
            .cloned()
            .collect::<Vec<_>>();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        CacheEvents { next, events }
    }
}
