//! Which server has which prefix cached, as far as it is known.

use std::collections::HashMap;

use teaselglade_core::id::ServerKey;

use crate::policy::{PREFIX_BLOCK_TOKENS, PrefixChange};

const MAX_BLOCKS: usize = 65_536;
const GAP_TRUST: f64 = 0.7;
const MIN_TRUST: f64 = 0.2;
const TRUST_STEP: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct ServerTrust {
    trust: f64,
    next_sequence: Option<u64>,
}

impl Default for ServerTrust {
    fn default() -> Self {
        Self {
            trust: 1.0,
            next_sequence: None,
        }
    }
}

type BlockMarks = HashMap<u64, Vec<ServerKey>>;

/// Which server has which prefix cached, from own dispatches and cache events.
///
/// Memory is bounded: when the young half is full it replaces the old one. Lost cache events and
/// prefixes that were not found lower the trust in all that is known of the server.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ServerKey;
/// use teaselglade_placement::cost::PrefixIndex;
///
/// let mut index = PrefixIndex::default();
/// let server = ServerKey::new(0);
/// index.mark(server, &[11, 12]);
/// let mut cached = vec![0; 1];
/// index.cached_tokens(&[11, 12, 13], &mut cached);
/// assert_eq!(cached[0], 64);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    young: BlockMarks,
    old: BlockMarks,
    trusts: Vec<ServerTrust>,
}

impl PrefixIndex {
    /// Notes that a server has the blocks cached.
    pub fn mark(&mut self, server: ServerKey, blocks: &[u64]) {
        for block in blocks {
            self.mark_block(server, *block);
        }
    }

    /// Takes in a cache event.
    pub fn change(&mut self, server: ServerKey, sequence: u64, change: PrefixChange, block: u64) {
        let trust = self.trust_mut(server);
        let gap = trust.next_sequence.is_some_and(|next| sequence > next);
        trust.next_sequence = Some(sequence + 1);
        if gap {
            trust.trust = (trust.trust * GAP_TRUST).max(MIN_TRUST);
        }
        match change {
            PrefixChange::Stored => self.mark_block(server, block),
            PrefixChange::Evicted => self.unmark_block(server, block),
        }
    }

    /// Compares what was expected to be cached with what was.
    pub fn learn(&mut self, server: ServerKey, expected_tokens: u32, cached_tokens: u32) {
        if expected_tokens == 0 {
            return;
        }
        let found = (f64::from(cached_tokens) / f64::from(expected_tokens)).min(1.0);
        let trust = self.trust_mut(server);
        trust.trust = (trust.trust + TRUST_STEP * (found - trust.trust)).max(MIN_TRUST);
    }

    /// Forgets all that is known of a server.
    pub fn forget(&mut self, server: ServerKey) {
        for marks in [&mut self.young, &mut self.old] {
            marks.retain(|_, servers| {
                servers.retain(|marked| *marked != server);
                !servers.is_empty()
            });
        }
        *self.trust_mut(server) = ServerTrust::default();
    }

    /// Writes each server's cached tokens of the prompt into `cached`, by the server's index.
    ///
    /// A block known of as many servers as the block behind it adds none, and is skipped.
    pub fn cached_tokens(&self, blocks: &[u64], cached: &mut [u32]) {
        let mut seen = 0;
        for (index, block) in blocks.iter().enumerate().rev() {
            let marks = self.young.get(block).or_else(|| self.old.get(block));
            let servers = marks.map_or(&[][..], Vec::as_slice);
            if servers.len() == seen {
                continue;
            }
            seen = servers.len();
            let tokens = (index as u32 + 1) * PREFIX_BLOCK_TOKENS;
            for server in servers {
                if let Some(known) = cached.get_mut(server.index()) {
                    *known = (*known).max(tokens);
                }
            }
        }
    }

    /// Returns the tokens of the prompt that one server has cached.
    #[must_use]
    pub fn cached_on(&self, server: ServerKey, blocks: &[u64]) -> u32 {
        let is_marked = |block: &u64| {
            let marks = self.young.get(block).or_else(|| self.old.get(block));
            marks.is_some_and(|servers| servers.contains(&server))
        };
        let longest = blocks.iter().rposition(is_marked);
        longest.map_or(0, |index| (index as u32 + 1) * PREFIX_BLOCK_TOKENS)
    }

    /// Returns the trust in what is known of a server, from 0 to 1.
    #[must_use]
    pub fn trust(&self, server: ServerKey) -> f64 {
        self.trusts
            .get(server.index())
            .map_or(1.0, |known| known.trust)
    }

    /// Returns how many blocks are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no block is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn mark_block(&mut self, server: ServerKey, block: u64) {
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

    fn unmark_block(&mut self, server: ServerKey, block: u64) {
        for marks in [&mut self.young, &mut self.old] {
            if let Some(servers) = marks.get_mut(&block) {
                servers.retain(|marked| *marked != server);
            }
        }
    }

    fn trust_mut(&mut self, server: ServerKey) -> &mut ServerTrust {
        if self.trusts.len() <= server.index() {
            self.trusts
                .resize_with(server.index() + 1, ServerTrust::default);
        }
        &mut self.trusts[server.index()]
    }
}
