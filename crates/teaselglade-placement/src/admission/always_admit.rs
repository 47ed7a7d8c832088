//! Admits every request.

use teaselglade_core::time::Timestamp;

use super::{AdmissionPolicy, Result};
use crate::policy::{Placement, PlacementQuery};

/// Admits every request; the admission to compare with.
#[derive(Debug, Clone, Copy, Default)]
pub struct AlwaysAdmit;

impl AdmissionPolicy for AlwaysAdmit {
    fn admit(
        &mut self,
        _now: Timestamp,
        _query: &PlacementQuery,
        _placement: &Placement,
    ) -> Result<()> {
        Ok(())
    }
}
