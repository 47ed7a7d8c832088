//! Which engine has which parts of prompts in its memory.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::PromptShape;

/// Time since its last use after which a part is taken to have yielded.
///
/// An engine of the first deployments reads about 30,000 new tokens a second into a memory of
/// 550,000, so what was not used for this long makes room.
const TRUSTED_SPAN: Duration = Duration::from_secs(15);

/// Time for which a use is told to the hosts of a large fleet; two rounds, as one may get lost.
const TELL_SPAN: Duration = Duration::from_millis(900);
/// Time after which a part that is still used is told again, well within [`TRUSTED_SPAN`].
const TELL_AGAIN: Duration = Duration::from_secs(6);

/// That a server has a part.
#[derive(Debug, Clone, Copy)]
struct PartUse {
    server: ServerKey,
    used: Timestamp,
    /// When this host began to tell it to others.
    told: Option<Timestamp>,
}

impl PartUse {
    fn is_untold(&self, now: Timestamp) -> bool {
        self.told.is_none_or(|told| {
            let age = now.since(told);
            age < TELL_SPAN || (age >= TELL_AGAIN && self.used > told + TELL_SPAN)
        })
    }
}

/// Which engine has which parts of prompts in its memory, from dispatches of all hosts.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ServerKey;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::engine::{PrefixLocations, PromptShape};
///
/// let mut map = PrefixLocations::default();
/// let now = Timestamp::from_millis(5);
/// let prompt = PromptShape::new(1_000, 10, [(1, 600), (2, 400)]);
/// map.record_use(now, ServerKey::new(3), prompt.parts[0].prefix_hash);
/// assert_eq!(map.cached_tokens(now, ServerKey::new(3), &prompt), 600);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PrefixLocations {
    /// Uses of each part, by the part's prefix_hash; ordered, so that a replay tells the same parts.
    parts: BTreeMap<u64, Vec<PartUse>>,
}

impl PrefixLocations {
    /// Notes that a part was used on a server.
    pub fn record_use(&mut self, now: Timestamp, server: ServerKey, prefix_hash: u64) {
        let uses = self.parts.entry(prefix_hash).or_default();
        match uses.iter_mut().find(|known| known.server == server) {
            Some(known) => known.used = known.used.max(now),
            None => uses.push(PartUse {
                server,
                used: now,
                told: None,
            }),
        }
    }

    /// Returns parts and their servers that the hosts of a large fleet were not told, `most` of them.
    pub fn take_unsent(&mut self, now: Timestamp, most: usize) -> Vec<(ServerKey, u64)> {
        let mut untold = Vec::new();
        for (prefix_hash, uses) in &mut self.parts {
            for part in uses.iter_mut().filter(|part| part.is_untold(now)) {
                if untold.len() == most {
                    return untold;
                }
                let is_begun = part.told.is_some_and(|told| now.since(told) < TELL_SPAN);
                if !is_begun {
                    part.told = Some(now);
                }
                untold.push((part.server, *prefix_hash));
            }
        }
        untold
    }

    /// Returns how many leading tokens of a prompt a server has in its memory.
    #[must_use]
    pub fn cached_tokens(&self, now: Timestamp, server: ServerKey, prompt: &PromptShape) -> u32 {
        let cached = prompt
            .parts
            .iter()
            .take_while(|part| self.is_cached(now, server, part.prefix_hash));
        cached.map(|part| part.tokens).sum()
    }

    /// Forgets what a server had, as after its restart.
    pub fn remove_server(&mut self, server: ServerKey) {
        for uses in self.parts.values_mut() {
            uses.retain(|known| known.server != server);
        }
    }

    /// Drops parts that were not used for long.
    pub fn prune(&mut self, now: Timestamp) {
        self.parts.retain(|_, uses| {
            uses.retain(|part| now.since(part.used) < TRUSTED_SPAN);
            !uses.is_empty()
        });
    }

    fn is_cached(&self, now: Timestamp, server: ServerKey, prefix_hash: u64) -> bool {
        let uses = self.parts.get(&prefix_hash).map_or(&[][..], Vec::as_slice);
        uses.iter()
            .any(|part| part.server == server && now.since(part.used) < TRUSTED_SPAN)
    }
}
