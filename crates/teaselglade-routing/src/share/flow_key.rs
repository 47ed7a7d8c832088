//! Requests of one organisation at one rank.

use crate::capacity::RequestRank;
use crate::gossip::name_hash;

/// Requests of one organisation at one rank; the unit in which demand is summed.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::capacity::RequestRank;
/// use teaselglade_routing::share::FlowKey;
///
/// let urgent = FlowKey::of("halloran", RequestRank::new(0));
/// assert_ne!(urgent, FlowKey::of("halloran", RequestRank::new(1)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Rank of the requests.
    pub rank: RequestRank,
}

impl FlowKey {
    /// Returns the key of an organisation's requests at a rank.
    #[must_use]
    pub fn of(organisation: &str, rank: RequestRank) -> Self {
        Self {
            organisation: name_hash(organisation),
            rank,
        }
    }
}
