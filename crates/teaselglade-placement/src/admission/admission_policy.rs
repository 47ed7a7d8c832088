//! Who decides whether a request is taken in.

use std::fmt::Debug;

use teaselglade_core::time::Timestamp;

use super::Result;
use crate::policy::{Placement, PlacementQuery};

/// Decides whether a placed request is dispatched or refused at once.
pub trait AdmissionPolicy: Debug + Send {
    /// Admits a request that would go where `placement` says.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" and when to come back.
    fn admit(
        &mut self,
        now: Timestamp,
        query: &PlacementQuery,
        placement: &Placement,
    ) -> Result<()>;
}
