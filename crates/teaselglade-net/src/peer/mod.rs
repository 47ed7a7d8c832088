//! Adapter to the other entry hosts, called peers.

mod peer_client;

pub use peer_client::{PEER_CONTENT_TYPE, PeerClient};
