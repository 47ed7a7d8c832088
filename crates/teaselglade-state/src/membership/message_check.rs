//! Checks of received messages, before any of their content is used.

use std::fmt;

use bytes::Bytes;
use teaselglade_wire::PeerExchange;
use teaselglade_wire::codec::from_msgpack;

/// Protocol version that this host sends.
pub const PROTOCOL_VERSION: u16 = 1;

/// Oldest protocol version that this host accepts.
pub const OLDEST_PROTOCOL_VERSION: u16 = 1;

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// Maximum size of a host's encoded demand shares, in bytes.
pub const MAX_DEMAND_BYTES: usize = 1_536;

/// Reason for refusing a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageRefusal {
    /// The message or its demand shares exceed their size limit.
    Oversized,
    /// The message cannot be decoded.
    Malformed,
    /// The message names another cluster.
    ForeignCluster,
    /// Sender and receiver have no protocol version in common.
    Incompatible,
    /// The message names this host as its sender.
    DuplicateName,
}

impl fmt::Display for MessageRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Oversized => "the message is too long",
            Self::Malformed => "the message cannot be read",
            Self::ForeignCluster => "the message names another cluster",
            Self::Incompatible => "there is no protocol in common",
            Self::DuplicateName => "another process uses this host's name",
        })
    }
}

/// Decodes a message and checks its size, cluster and protocol version.
pub(super) fn check_message(
    body: &Bytes,
    cluster: &str,
) -> std::result::Result<PeerExchange, MessageRefusal> {
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(MessageRefusal::Oversized);
    }
    let decoded = from_msgpack::<PeerExchange>(body);
    let message = decoded.map_err(|_error| MessageRefusal::Malformed)?;
    if message.cluster != cluster {
        return Err(MessageRefusal::ForeignCluster);
    }
    let is_too_new = message.oldest > PROTOCOL_VERSION;
    if is_too_new || message.protocol < OLDEST_PROTOCOL_VERSION {
        return Err(MessageRefusal::Incompatible);
    }
    if message.demand.len() > MAX_DEMAND_BYTES {
        return Err(MessageRefusal::Oversized);
    }
    Ok(message)
}
