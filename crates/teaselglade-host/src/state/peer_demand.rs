//! Demand that a peer reported.

use teaselglade_core::time::Timestamp;
use teaselglade_routing::gossip::ServiceDemand;

/// Demand of a peer's callers, as it reported last.
#[derive(Debug, Clone)]
pub(super) struct PeerDemand {
    pub(super) received_at: Timestamp,
    /// Data centre of the peer.
    pub(super) zone: String,
    pub(super) services: Vec<ServiceDemand>,
}
