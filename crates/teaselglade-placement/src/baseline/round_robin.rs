//! Sends requests to all servers in turn.

use teaselglade_core::time::Timestamp;

use super::no_server;
use crate::policy::{Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result};
use crate::server::ServerDirectory;

/// Sends requests to all permitted servers in turn.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::baseline::RoundRobin;
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let placement = ServerPlacer::new(Box::new(RoundRobin::default()));
/// assert!(placement.directory().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    turn: usize,
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
            let server = servers[(self.turn + step) % servers.len()];
            if query.allows(server, directory.entry(server)) {
                self.turn = (self.turn + step + 1) % servers.len();
                return Ok(Placement::without_forecast(server));
            }
        }
        Err(no_server())
    }

    fn observe(&mut self, _now: Timestamp, _directory: &ServerDirectory, _event: &PlacementEvent) {}
}
