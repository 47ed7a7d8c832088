//! Gossip between hosts: digests, aggregates and membership.

mod aggregate_digest;
mod fetch_planner;
mod host_digest;
mod news_packer;
mod news_turn;
mod peer_membership;
mod server_news;
mod transfer_limiter;
mod zone_order;

pub use aggregate_digest::{AggregateDigest, CandidateHost, PeerMessage};
pub use fetch_planner::FetchPlanner;
pub use host_digest::{HostDigest, PeerAddress, ServiceDemand};
pub use news_turn::NewsTurn;
pub use peer_membership::PeerMembership;
pub use server_news::ServerNews;
pub use teaselglade_placement::subset::rendezvous_weight;
pub use transfer_limiter::TransferLimiter;

/// Returns the hash that stands for a name in messages between hosts.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::gossip::name_hash;
///
/// assert_ne!(name_hash("i-1"), name_hash("i-2"));
/// ```
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    rendezvous_weight("", name)
}
