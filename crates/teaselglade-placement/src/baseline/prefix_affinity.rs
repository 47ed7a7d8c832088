//! Prefix-affinity policy.

use std::collections::HashMap;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::{LeastLoad, no_server_refusal};
use crate::policy::{Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result};
use crate::server::{ServerDirectory, ServerState};

const MAX_PREFIXES: usize = 200_000;

/// Places each request on the server that last received its longest known prefix.
///
/// Prompts without a known prefix are placed by [`LeastLoad`].
///
/// # Examples
///
/// ```
/// use teaselglade_placement::baseline::PrefixAffinity;
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let placer = ServerPlacer::new(Box::new(PrefixAffinity::default()));
/// assert!(placer.directory().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct PrefixAffinity {
    last_servers: HashMap<u64, ServerKey>,
    fallback: LeastLoad,
}

impl PlacementPolicy for PrefixAffinity {
    fn place(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement> {
        let hashes = query.prefix.iter().rev();
        let server = hashes
            .filter_map(|prefix| self.last_servers.get(prefix))
            .find(|server| {
                let entry = directory.entry(**server);
                entry.state == ServerState::Live && query.allows(**server, entry)
            });
        match server {
            Some(server) => Ok(Placement::without_forecast(*server)),
            None => self
                .fallback
                .place(now, directory, query)
                .map_err(|_refusal| no_server_refusal()),
        }
    }

    fn observe(&mut self, _now: Timestamp, _directory: &ServerDirectory, event: &PlacementEvent) {
        let PlacementEvent::Dispatched { server, prefix, .. } = event else {
            return;
        };
        if self.last_servers.len() > MAX_PREFIXES {
            self.last_servers.clear();
        }
        for hash in prefix.iter() {
            self.last_servers.insert(*hash, *server);
        }
    }
}
