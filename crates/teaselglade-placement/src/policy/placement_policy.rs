//! Interface of the placement policies.

use std::fmt::Debug;

use teaselglade_core::time::Timestamp;

use super::{Placement, PlacementEvent, PlacementQuery, Result};
use crate::server::ServerDirectory;

/// Chooses a server for each request among the live servers of the directory.
pub trait PlacementPolicy: Debug + Send {
    /// Returns the placement of a request.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if no allowed server accepts new work.
    fn place(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement>;

    /// Updates the policy with an event that was already applied to the directory.
    fn observe(&mut self, now: Timestamp, directory: &ServerDirectory, event: &PlacementEvent);
}
