//! Sends requests to the server that computed the longest prefix last.

use std::collections::HashMap;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::{LeastLoad, no_server};
use crate::policy::{Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result};
use crate::server::{ServerDirectory, ServerState};

const MAX_PREFIXES: usize = 200_000;

/// Sends each request where its longest prefix went last, and new prompts to the least load.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::baseline::PrefixAffinity;
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let placement = ServerPlacer::new(Box::new(PrefixAffinity::default()));
/// assert!(placement.directory().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct PrefixAffinity {
    homes: HashMap<u64, ServerKey>,
    fallback: LeastLoad,
}

impl PlacementPolicy for PrefixAffinity {
    fn place(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement> {
        let homes = query.prefix.iter().rev();
        let home = homes
            .filter_map(|prefix| self.homes.get(prefix))
            .find(|server| {
                let entry = directory.entry(**server);
                entry.state == ServerState::Live && query.allows(**server, entry)
            });
        match home {
            Some(server) => Ok(Placement::without_forecast(*server)),
            None => self
                .fallback
                .place(now, directory, query)
                .map_err(|_none| no_server()),
        }
    }

    fn observe(&mut self, _now: Timestamp, _directory: &ServerDirectory, event: &PlacementEvent) {
        let PlacementEvent::Dispatched { server, prefix, .. } = event else {
            return;
        };
        if self.homes.len() > MAX_PREFIXES {
            self.homes.clear();
        }
        for block in prefix.iter() {
            self.homes.insert(*block, *server);
        }
    }
}
