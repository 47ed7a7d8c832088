//! Adapter to the other entry hosts.

mod peer_client;

pub use peer_client::{PEER_CONTENT_TYPE, PeerClient};
