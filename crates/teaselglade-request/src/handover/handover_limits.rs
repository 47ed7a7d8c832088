//! Limits of the handovers of an entry host.

/// Limits the offers of a leaving entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverLimits {
    /// Limit of records that are offered at the same time.
    pub max_in_flight: usize,
    /// Limit of peers that one record is offered to.
    pub max_peers: usize,
    /// Offers to one peer before the next peer is tried.
    pub offers_per_peer: u32,
}

impl Default for HandoverLimits {
    fn default() -> Self {
        Self {
            max_in_flight: 16,
            max_peers: 3,
            offers_per_peer: 2,
        }
    }
}
