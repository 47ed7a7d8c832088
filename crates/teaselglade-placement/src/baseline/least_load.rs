//! Sends requests to the server with the fewest requests.

use teaselglade_core::time::Timestamp;

use super::no_server;
use crate::policy::{Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result};
use crate::server::ServerDirectory;

/// Sends each request to a permitted server with the fewest requests, in turn among equals.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::baseline::LeastLoad;
/// use teaselglade_placement::policy::ServerPlacer;
///
/// let placement = ServerPlacer::new(Box::new(LeastLoad::default()));
/// assert!(placement.directory().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct LeastLoad {
    turn: usize,
}

impl PlacementPolicy for LeastLoad {
    fn place(
        &mut self,
        _now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement> {
        let servers = directory.live(query.service);
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        let in_turn = (0..servers.len()).map(|step| servers[(turn + step) % servers.len()]);
        in_turn
            .filter(|server| query.allows(*server, directory.entry(*server)))
            .min_by_key(|server| directory.entry(*server).load.requests())
            .map(Placement::without_forecast)
            .ok_or_else(no_server)
    }

    fn observe(&mut self, _now: Timestamp, _directory: &ServerDirectory, _event: &PlacementEvent) {}
}
