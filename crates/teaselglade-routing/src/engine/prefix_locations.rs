//! Engines whose prefix caches hold parts of prompts.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::PromptShape;

/// Time since its last use after which a part counts as evicted.
///
/// An engine of the first deployments prefills about 30,000 new tokens a second into a cache of
/// 550,000 tokens, so parts that are unused for this long have been replaced.
const CACHE_TTL: Duration = Duration::from_secs(15);

/// Time for which a use is repeated in aggregate digests.
///
/// It covers two aggregate digests, as one may be lost.
const SEND_WINDOW: Duration = Duration::from_millis(900);
/// Interval after which a part that is still used is sent again, well within [`CACHE_TTL`].
const RESEND_INTERVAL: Duration = Duration::from_secs(6);

/// Latest use of a part on one server.
#[derive(Debug, Clone, Copy)]
struct PartUse {
    server: ServerKey,
    last_used: Timestamp,
    /// Time at which this host began to send the use to the other hosts.
    sent_at: Option<Timestamp>,
}

impl PartUse {
    fn is_due(&self, now: Timestamp) -> bool {
        self.sent_at.is_none_or(|sent_at| {
            let age = now.since(sent_at);
            age < SEND_WINDOW || (age >= RESEND_INTERVAL && self.last_used > sent_at + SEND_WINDOW)
        })
    }
}

/// Engines whose prefix caches hold parts of prompts, from the placements of all hosts.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ServerKey;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::engine::{PrefixLocations, PromptShape};
///
/// let mut locations = PrefixLocations::default();
/// let now = Timestamp::from_millis(5);
/// let prompt = PromptShape::new(1_000, 10, [(1, 600), (2, 400)]);
/// locations.record_use(now, ServerKey::new(3), prompt.parts[0].prefix_hash);
/// assert_eq!(locations.cached_tokens(now, ServerKey::new(3), &prompt), 600);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PrefixLocations {
    /// Uses of each part by its prefix hash.
    ///
    /// The map is ordered, so that replays send the same parts.
    uses_by_part: BTreeMap<u64, Vec<PartUse>>,
}

impl PrefixLocations {
    /// Records that a part was used on a server.
    pub fn record_use(&mut self, now: Timestamp, server: ServerKey, prefix_hash: u64) {
        let uses = self.uses_by_part.entry(prefix_hash).or_default();
        match uses.iter_mut().find(|part_use| part_use.server == server) {
            Some(part_use) => part_use.last_used = part_use.last_used.max(now),
            None => uses.push(PartUse {
                server,
                last_used: now,
                sent_at: None,
            }),
        }
    }

    /// Returns up to `max_parts` parts due in an aggregate digest, with their servers.
    ///
    /// Marks them as sent.
    pub fn take_unsent(&mut self, now: Timestamp, max_parts: usize) -> Vec<(ServerKey, u64)> {
        let mut unsent = Vec::new();
        for (prefix_hash, uses) in &mut self.uses_by_part {
            for part_use in uses.iter_mut().filter(|part_use| part_use.is_due(now)) {
                if unsent.len() == max_parts {
                    return unsent;
                }
                let is_in_window = part_use
                    .sent_at
                    .is_some_and(|sent_at| now.since(sent_at) < SEND_WINDOW);
                if !is_in_window {
                    part_use.sent_at = Some(now);
                }
                unsent.push((part_use.server, *prefix_hash));
            }
        }
        unsent
    }

    /// Returns the number of leading prompt tokens in a server's cache.
    #[must_use]
    pub fn cached_tokens(&self, now: Timestamp, server: ServerKey, prompt: &PromptShape) -> u32 {
        let cached = prompt
            .parts
            .iter()
            .take_while(|part| self.is_cached(now, server, part.prefix_hash));
        cached.map(|part| part.tokens).sum()
    }

    /// Removes all parts of a server, for instance after its restart.
    pub fn remove_server(&mut self, server: ServerKey) {
        for uses in self.uses_by_part.values_mut() {
            uses.retain(|part_use| part_use.server != server);
        }
    }

    /// Removes parts that were not used within the cache lifetime.
    pub fn prune(&mut self, now: Timestamp) {
        self.uses_by_part.retain(|_, uses| {
            uses.retain(|part_use| now.since(part_use.last_used) < CACHE_TTL);
            !uses.is_empty()
        });
    }

    fn is_cached(&self, now: Timestamp, server: ServerKey, prefix_hash: u64) -> bool {
        let uses = self
            .uses_by_part
            .get(&prefix_hash)
            .map_or(&[][..], Vec::as_slice);
        uses.iter()
            .any(|part_use| part_use.server == server && now.since(part_use.last_used) < CACHE_TTL)
    }
}
