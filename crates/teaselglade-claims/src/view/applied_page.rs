//! What one page of records brought.

use super::ClaimResolution;
use crate::record::ClaimId;

/// Record of a claim, seen in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedClaim {
    /// Claim that was seen.
    pub claim: ClaimId,
    /// What it came to.
    pub resolution: ClaimResolution,
}

/// What one page of records brought.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AppliedPage {
    /// Claims that were seen, in log order.
    pub claims: Vec<ObservedClaim>,
    /// Whether the view has reached the end that the page names.
    pub reached_end: bool,
}
