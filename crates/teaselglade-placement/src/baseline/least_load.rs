//! Least-load policy.

use teaselglade_core::time::Timestamp;

use super::no_server_refusal;
use crate::policy::{Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result};
use crate::server::ServerDirectory;

/// Places each request on the allowed server with the fewest requests.
///
/// Ties are broken in round-robin order.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::baseline::LeastLoad;
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let placer = ServerPlacer::new(Box::new(LeastLoad::default()));
/// assert!(placer.directory().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct LeastLoad {
    next_index: usize,
}

impl PlacementPolicy for LeastLoad {
    fn place(
        &mut self,
        _now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement> {
        let servers = directory.live(query.service);
        self.next_index = self.next_index.wrapping_add(1);
        let first = self.next_index;
        let rotated = (0..servers.len()).map(|step| servers[(first + step) % servers.len()]);
        rotated
            .filter(|server| query.allows(*server, directory.entry(*server)))
            .min_by_key(|server| directory.entry(*server).load.requests())
            .map(Placement::without_forecast)
            .ok_or_else(no_server_refusal)
    }

    fn observe(&mut self, _now: Timestamp, _directory: &ServerDirectory, _event: &PlacementEvent) {}
}
