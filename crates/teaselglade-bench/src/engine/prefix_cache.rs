//! Bounded prefix cache of an engine with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use teaselglade_placement::policy::{PREFIX_BLOCK_TOKENS, PrefixChange};

/// Cache event published by an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    /// Whether the prefix was stored or evicted.
    pub change: PrefixChange,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Bounded prefix cache of an engine with least-recently-used eviction.
///
/// # Examples
///
/// ```
/// use teaselglade_bench::engine::PrefixCache;
///
/// let mut cache = PrefixCache::new(2);
/// cache.store(&[1, 2, 3]);
/// assert_eq!(cache.cached_tokens(&[1, 2, 3]), 0, "block 1 was evicted");
/// ```
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    use_counter: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_counter: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            sequence: 0,
            events: Vec::new(),
        }
    }

    /// Returns the length of the cached prefix in tokens and marks its blocks as used.
    pub fn cached_tokens(&mut self, blocks: &[u64]) -> u32 {
        let cached_blocks = blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(block));
        let cached_blocks = cached_blocks.count();
        for block in &blocks[..cached_blocks] {
            self.touch(*block);
        }
        cached_blocks as u32 * PREFIX_BLOCK_TOKENS
    }

    /// Stores blocks and evicts the least recently used ones beyond the capacity.
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.touch(*block) {
                self.record_event(PrefixChange::Stored, *block);
            }
        }
        while self.last_used.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&block);
            self.record_event(PrefixChange::Evicted, block);
        }
    }

    /// Removes all blocks without recording events, as a restart of the engine does.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_last_use.clear();
    }

    /// Returns the cache events since the last call and clears them.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn touch(&mut self, block: u64) -> bool {
        self.use_counter += 1;
        let previous = self.last_used.insert(block, self.use_counter);
        if let Some(use_counter) = previous {
            self.by_last_use.remove(&use_counter);
        }
        self.by_last_use.insert(self.use_counter, block);
        previous.is_none()
    }

    fn record_event(&mut self, change: PrefixChange, prefix: u64) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            change,
            prefix,
        });
    }
}
