//! Prefix cache of an engine.

use std::collections::HashMap;

use teaselglade_placement::policy::{PREFIX_BLOCK_TOKENS, prefix_block_hashes};

/// Change of the cache: a prefix was stored or evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PrefixChange {
    pub(super) is_stored: bool,
    pub(super) prefix: u64,
    pub(super) tokens: u32,
}

/// Caches prompt prefixes in blocks, with LRU eviction.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    use_counter: u64,
    blocks: HashMap<u64, (u64, u32)>,
}

impl PrefixCache {
    pub(super) fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity_blocks: capacity_tokens / PREFIX_BLOCK_TOKENS as usize,
            use_counter: 0,
            blocks: HashMap::new(),
        }
    }

    /// Returns the number of leading words that are cached.
    pub(super) fn cached_words(&self, words: &[&str]) -> u32 {
        let cached = block_hashes(words).take_while(|(hash, _)| self.blocks.contains_key(hash));
        cached.last().map_or(0, |(_, tokens)| tokens)
    }

    /// Stores the blocks of `words`, evicts blocks over the capacity and returns the changes.
    pub(super) fn store(&mut self, words: &[&str]) -> Vec<PrefixChange> {
        self.use_counter += 1;
        let mut changes = Vec::new();
        for (prefix, tokens) in block_hashes(words) {
            if self
                .blocks
                .insert(prefix, (self.use_counter, tokens))
                .is_none()
            {
                changes.push(PrefixChange {
                    is_stored: true,
                    prefix,
                    tokens,
                });
            }
        }
        while self.blocks.len() > self.capacity_blocks {
            let oldest = self
                .blocks
                .iter()
                .min_by_key(|(hash, (last_use, _))| (*last_use, **hash));
            let Some((prefix, (_, tokens))) = oldest.map(|(hash, block)| (*hash, *block)) else {
                break;
            };
            self.blocks.remove(&prefix);
            changes.push(PrefixChange {
                is_stored: false,
                prefix,
                tokens,
            });
        }
        changes
    }
}

fn block_hashes(words: &[&str]) -> impl Iterator<Item = (u64, u32)> + use<> {
    let blocks = prefix_block_hashes(words.iter().copied());
    (1..)
        .zip(blocks)
        .map(|(count, block)| (block, count * PREFIX_BLOCK_TOKENS))
}
