//! Limits of a handover.

/// Limits of a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverLimits {
    /// Most records on their way at a time.
    pub max_in_flight: usize,
    /// Most peers that one record is offered to.
    pub max_peers: usize,
    /// Offers to one peer before the next is tried.
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
