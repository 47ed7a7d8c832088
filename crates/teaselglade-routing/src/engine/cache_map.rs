//! Which engine has which parts of prompts in its memory.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::PromptShape;

/// Time since its last use after which a part is taken to have yielded.
///
/// An engine of the first deployments reads about 30,000 new tokens a second into a memory of
/// 550,000, so what was not used for this long makes room.
const TRUSTED_SPAN: Duration = Duration::from_secs(15);

/// Which engine has which parts of prompts in its memory, from dispatches of all hosts.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ServerKey;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::engine::{CacheMap, PromptShape};
///
/// let mut map = CacheMap::default();
/// let now = Timestamp::from_millis(5);
/// let prompt = PromptShape::new(1_000, 10, [(1, 600), (2, 400)]);
/// map.mark(now, ServerKey::new(3), prompt.parts[0].chain);
/// assert_eq!(map.cached_tokens(now, ServerKey::new(3), &prompt), 600);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CacheMap {
    /// Last use of each part, by the part's chain.
    parts: HashMap<u64, Vec<(ServerKey, Timestamp)>>,
}

impl CacheMap {
    /// Notes that a part was used on a server.
    pub fn mark(&mut self, now: Timestamp, server: ServerKey, chain: u64) {
        let uses = self.parts.entry(chain).or_default();
        match uses.iter_mut().find(|(known, _)| *known == server) {
            Some((_, latest)) => *latest = (*latest).max(now),
            None => uses.push((server, now)),
        }
    }

    /// Returns how many leading tokens of a prompt a server has in its memory.
    #[must_use]
    pub fn cached_tokens(&self, now: Timestamp, server: ServerKey, prompt: &PromptShape) -> u32 {
        let cached = prompt
            .parts
            .iter()
            .take_while(|part| self.is_cached(now, server, part.chain));
        cached.map(|part| part.tokens).sum()
    }

    /// Forgets what a server had, as after its restart.
    pub fn forget(&mut self, server: ServerKey) {
        for uses in self.parts.values_mut() {
            uses.retain(|(known, _)| *known != server);
        }
    }

    /// Drops parts that were not used for long.
    pub fn prune(&mut self, now: Timestamp) {
        self.parts.retain(|_, uses| {
            uses.retain(|(_, used)| now.since(*used) < TRUSTED_SPAN);
            !uses.is_empty()
        });
    }

    fn is_cached(&self, now: Timestamp, server: ServerKey, chain: u64) -> bool {
        let uses = self.parts.get(&chain).map_or(&[][..], Vec::as_slice);
        uses.iter()
            .any(|(known, used)| *known == server && now.since(*used) < TRUSTED_SPAN)
    }
}
