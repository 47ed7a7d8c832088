//! Round-robin policy.

use teaselglade_core::time::Timestamp;

use super::no_server_refusal;
use crate::policy::{Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result};
use crate::server::ServerDirectory;

/// Places requests on all allowed servers in round-robin order.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::baseline::RoundRobin;
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let placer = ServerPlacer::new(Box::new(RoundRobin::default()));
/// assert!(placer.directory().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    next_index: usize,
}

impl PlacementPolicy for RoundRobin {
    fn place(
        &mut self,
        _now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement> {
        let servers = directory.live(query.service);
        for step in 0..servers.len() {
            let server = servers[(self.next_index + step) % servers.len()];
            if query.allows(server, directory.entry(server)) {
                self.next_index = (self.next_index + step + 1) % servers.len();
                return Ok(Placement::without_forecast(server));
            }
        }
        Err(no_server_refusal())
    }

    fn observe(&mut self, _now: Timestamp, _directory: &ServerDirectory, _event: &PlacementEvent) {}
}
