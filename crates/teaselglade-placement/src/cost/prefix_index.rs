//! Index of the prefixes cached on each server.

use std::collections::HashMap;

use teaselglade_core::id::ServerKey;

use crate::policy::{PREFIX_BLOCK_TOKENS, PrefixChange};

/// Maximum number of blocks in both generations.
const MAX_BLOCKS: usize = 65_536;
/// Factor by which a gap in the cache events lowers the confidence.
const EVENT_GAP_DECAY: f64 = 0.7;
const MIN_CONFIDENCE: f64 = 0.2;
const CONFIDENCE_SMOOTHING: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct PrefixConfidence {
    value: f64,
    next_sequence: Option<u64>,
}

impl Default for PrefixConfidence {
    fn default() -> Self {
        Self {
            value: 1.0,
            next_sequence: None,
        }
    }
}

type BlockServers = HashMap<u64, Vec<ServerKey>>;

/// Indexes which prefix blocks each server has cached, from own dispatches and cache events.
///
/// Memory is bounded by two generations: when the young one is full, it replaces the old one.
/// Lost cache events and cache misses lower the confidence in all entries of the server.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ServerKey;
/// use teaselglade_placement::cost::PrefixIndex;
///
/// let mut index = PrefixIndex::default();
/// let server = ServerKey::new(0);
/// index.record_cached(server, &[11, 12]);
/// let mut cached = vec![0; 1];
/// index.cached_tokens(&[11, 12, 13], &mut cached);
/// assert_eq!(cached[0], 64);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    young: BlockServers,
    old: BlockServers,
    confidences: Vec<PrefixConfidence>,
}

impl PrefixIndex {
    /// Records that a server has the blocks cached.
    pub fn record_cached(&mut self, server: ServerKey, blocks: &[u64]) {
        for block in blocks {
            self.record_block(server, *block);
        }
    }

    /// Applies a cache event; a gap in the sequence lowers the confidence in the server.
    pub fn apply_change(
        &mut self,
        server: ServerKey,
        sequence: u64,
        change: PrefixChange,
        block: u64,
    ) {
        let confidence = self.confidence_mut(server);
        let has_gap = confidence.next_sequence.is_some_and(|next| sequence > next);
        confidence.next_sequence = Some(sequence + 1);
        if has_gap {
            confidence.value = (confidence.value * EVENT_GAP_DECAY).max(MIN_CONFIDENCE);
        }
        match change {
            PrefixChange::Stored => self.record_block(server, block),
            PrefixChange::Evicted => self.remove_block(server, block),
        }
    }

    /// Updates the confidence in a server from expected and actual cached tokens.
    pub fn record_hit(&mut self, server: ServerKey, expected_tokens: u32, cached_tokens: u32) {
        if expected_tokens == 0 {
            return;
        }
        let hit_rate = (f64::from(cached_tokens) / f64::from(expected_tokens)).min(1.0);
        let confidence = self.confidence_mut(server);
        confidence.value = (confidence.value
            + CONFIDENCE_SMOOTHING * (hit_rate - confidence.value))
            .max(MIN_CONFIDENCE);
    }

    /// Removes all entries of a server and resets its confidence.
    pub fn remove_server(&mut self, server: ServerKey) {
        for blocks in [&mut self.young, &mut self.old] {
            blocks.retain(|_, servers| {
                servers.retain(|cached_on| *cached_on != server);
                !servers.is_empty()
            });
        }
        *self.confidence_mut(server) = PrefixConfidence::default();
    }

    /// Writes each server's cached tokens of the prompt into `cached`, by the server's index.
    ///
    /// Blocks are visited from the last to the first. A block with as many servers as the block
    /// visited before it adds no server and is skipped.
    pub fn cached_tokens(&self, blocks: &[u64], cached: &mut [u32]) {
        let mut last_count = 0;
        for (index, block) in blocks.iter().enumerate().rev() {
            let entry = self.young.get(block).or_else(|| self.old.get(block));
            let servers = entry.map_or(&[][..], Vec::as_slice);
            if servers.len() == last_count {
                continue;
            }
            last_count = servers.len();
            let tokens = (index as u32 + 1) * PREFIX_BLOCK_TOKENS;
            for server in servers {
                if let Some(known) = cached.get_mut(server.index()) {
                    *known = (*known).max(tokens);
                }
            }
        }
    }

    /// Returns how many tokens of the prompt one server has cached.
    #[must_use]
    pub fn cached_on(&self, server: ServerKey, blocks: &[u64]) -> u32 {
        let is_cached = |block: &u64| {
            let entry = self.young.get(block).or_else(|| self.old.get(block));
            entry.is_some_and(|servers| servers.contains(&server))
        };
        let longest = blocks.iter().rposition(is_cached);
        longest.map_or(0, |index| (index as u32 + 1) * PREFIX_BLOCK_TOKENS)
    }

    /// Returns the confidence in the entries of a server, from 0 to 1.
    #[must_use]
    pub fn confidence(&self, server: ServerKey) -> f64 {
        self.confidences
            .get(server.index())
            .map_or(1.0, |known| known.value)
    }

    /// Returns the number of indexed blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no block is indexed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn record_block(&mut self, server: ServerKey, block: u64) {
        if self.young.len() >= MAX_BLOCKS / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        let servers = self
            .young
            .entry(block)
            .or_insert_with(|| old.remove(&block).unwrap_or_default());
        if !servers.contains(&server) {
            servers.push(server);
        }
    }

    fn remove_block(&mut self, server: ServerKey, block: u64) {
        for blocks in [&mut self.young, &mut self.old] {
            if let Some(servers) = blocks.get_mut(&block) {
                servers.retain(|cached_on| *cached_on != server);
            }
        }
    }

    fn confidence_mut(&mut self, server: ServerKey) -> &mut PrefixConfidence {
        if self.confidences.len() <= server.index() {
            self.confidences
                .resize_with(server.index() + 1, PrefixConfidence::default);
        }
        &mut self.confidences[server.index()]
    }
}
