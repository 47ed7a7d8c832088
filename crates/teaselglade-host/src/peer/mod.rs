//! Gossip and state transfer between hosts.

mod aggregate_round;
mod gossip_transport;
mod peer_api;
mod peer_client;
mod peer_pull;
mod peer_state;
mod table_state;

pub use gossip_transport::GossipTransport;
pub use peer_api::{QUARANTINE_PATH, start_peer_api};
pub use peer_pull::{pull_before_store, pull_from_peers};
pub use peer_state::PeerState;
pub use table_state::{TableAnnouncement, TableState};
