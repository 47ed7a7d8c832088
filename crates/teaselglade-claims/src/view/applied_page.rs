//! Claims found in a page of records.

use super::ClaimResolution;
use crate::record::ClaimId;

/// Claim record that was read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedClaim {
    /// Id of the claim.
    pub claim: ClaimId,
    /// Effect of its record.
    pub resolution: ClaimResolution,
}

/// Result of applying one page of records.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AppliedPage {
    /// Claim records of the page, in log order.
    pub claims: Vec<ObservedClaim>,
    /// Whether the view has reached the end offset of the page.
    pub reached_end: bool,
}
