//! What hosts tell each other.

mod digest_exchange;
mod peer_api;
mod peer_pull;
mod peer_state;

pub use digest_exchange::DigestExchange;
pub use peer_api::start_peer_api;
pub use peer_pull::pull_from_peers;
pub use peer_state::PeerState;
