//! Prefix cache of an engine, bounded, least recently used first out.

use std::collections::{BTreeMap, HashMap};

use teaselglade_placement::policy::{PREFIX_BLOCK_TOKENS, PrefixChange};

/// One cache event as the engine publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheNote {
    /// Number of the event.
    pub sequence: u64,
    /// What happened.
    pub change: PrefixChange,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Prefix cache of an engine, bounded, least recently used first out.
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
    tick: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    sequence: u64,
    notes: Vec<CacheNote>,
}

impl PrefixCache {
    /// Makes an empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tick: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            sequence: 0,
            notes: Vec::new(),
        }
    }

    /// Returns how many tokens of the prompt are cached, and marks them as used.
    pub fn cached_tokens(&mut self, blocks: &[u64]) -> u32 {
        let known = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block));
        let known = known.count();
        for block in &blocks[..known] {
            self.touch(*block);
        }
        known as u32 * PREFIX_BLOCK_TOKENS
    }

    /// Stores blocks and evicts the least recently used ones.
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.touch(*block) {
                self.note(PrefixChange::Stored, *block);
            }
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.note(PrefixChange::Evicted, block);
        }
    }

    /// Forgets everything without a note, as a restarted engine does.
    pub fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
    }

    /// Returns the notes since the last call.
    pub fn take_notes(&mut self) -> Vec<CacheNote> {
        std::mem::take(&mut self.notes)
    }

    fn touch(&mut self, block: u64) -> bool {
        self.tick += 1;
        let before = self.used.insert(block, self.tick);
        if let Some(tick) = before {
            self.order.remove(&tick);
        }
        self.order.insert(self.tick, block);
        before.is_none()
    }

    fn note(&mut self, change: PrefixChange, prefix: u64) {
        self.sequence += 1;
        self.notes.push(CacheNote {
            sequence: self.sequence,
            change,
            prefix,
        });
    }
}
