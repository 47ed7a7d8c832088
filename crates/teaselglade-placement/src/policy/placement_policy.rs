//! Who decides where a request goes.

use std::fmt::Debug;

use teaselglade_core::time::Timestamp;

use super::{Placement, PlacementEvent, PlacementQuery, Result};
use crate::server::ServerDirectory;

/// Decides where a request goes, among the live servers of the directory.
pub trait PlacementPolicy: Debug + Send {
    /// Returns the server that a request goes to.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" where no permitted server takes new work.
    fn place(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        query: &PlacementQuery,
    ) -> Result<Placement>;

    /// Learns from an event that the directory has taken in already.
    fn observe(&mut self, now: Timestamp, directory: &ServerDirectory, event: &PlacementEvent);
}
