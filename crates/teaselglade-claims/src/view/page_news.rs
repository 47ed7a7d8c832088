//! What one page of records brought.

use super::ClaimFate;
use crate::record::ClaimId;

/// Record of a claim, seen in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimSighting {
    /// Claim that was seen.
    pub claim: ClaimId,
    /// What it came to.
    pub fate: ClaimFate,
}

/// What one page of records brought.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PageNews {
    /// Claims that were seen, in log order.
    pub sightings: Vec<ClaimSighting>,
    /// Whether the view has reached the end that the page names.
    pub reached_end: bool,
}
