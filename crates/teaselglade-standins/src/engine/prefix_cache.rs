//! Prompt prefixes that an engine keeps.

use std::collections::HashMap;

use teaselglade_placement::policy::{PREFIX_BLOCK_TOKENS, prefix_block_hashes};

/// A prefix that was stored or evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PrefixChange {
    pub(super) stored: bool,
    pub(super) prefix: u64,
    pub(super) tokens: u32,
}

/// Cache of prefixes in blocks; the block used longest ago is evicted first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    clock: u64,
    blocks: HashMap<u64, (u64, u32)>,
}

impl PrefixCache {
    pub(super) fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity_blocks: capacity_tokens / PREFIX_BLOCK_TOKENS as usize,
            clock: 0,
            blocks: HashMap::new(),
        }
    }

    /// Returns how many leading words are cached.
    pub(super) fn cached_words(&self, words: &[&str]) -> u32 {
        let hit = block_hashes(words).take_while(|(hash, _)| self.blocks.contains_key(hash));
        hit.last().map_or(0, |(_, tokens)| tokens)
    }

    /// Stores the blocks of `words` and returns what changed.
    pub(super) fn store(&mut self, words: &[&str]) -> Vec<PrefixChange> {
        self.clock += 1;
        let mut changes = Vec::new();
        for (prefix, tokens) in block_hashes(words) {
            if self.blocks.insert(prefix, (self.clock, tokens)).is_none() {
                changes.push(PrefixChange {
                    stored: true,
                    prefix,
                    tokens,
                });
            }
        }
        while self.blocks.len() > self.capacity_blocks {
            let oldest = self
                .blocks
                .iter()
                .min_by_key(|(hash, (used, _))| (*used, **hash));
            let Some((prefix, (_, tokens))) = oldest.map(|(hash, block)| (*hash, *block)) else {
                break;
            };
            self.blocks.remove(&prefix);
            changes.push(PrefixChange {
                stored: false,
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
