//! Checks messages of peers before anything in them is used.

use std::fmt;

use bytes::Bytes;
use teaselglade_wire::PeerExchange;
use teaselglade_wire::codec::from_msgpack;

/// Protocol that this version speaks.
pub const PROTOCOL: u16 = 1;

/// Oldest protocol that this version understands.
pub const OLDEST_PROTOCOL: u16 = 1;

/// Most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// Most bytes of a host's demand shares.
pub const MAX_DEMAND_BYTES: usize = 1_536;

/// Why a message was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageRefusal {
    /// It is too long.
    Oversized,
    /// It cannot be read.
    Malformed,
    /// It names another cluster.
    ForeignCluster,
    /// Sender and receiver have no protocol in common.
    Incompatible,
    /// It names this host as its sender.
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
    let is_too_new = message.oldest > PROTOCOL;
    if is_too_new || message.protocol < OLDEST_PROTOCOL {
        return Err(MessageRefusal::Incompatible);
    }
    if message.demand.len() > MAX_DEMAND_BYTES {
        return Err(MessageRefusal::Oversized);
    }
    Ok(message)
}
