//! Events and actions of the exchange.

use std::net::SocketAddr;

use bytes::Bytes;
use teaselglade_core::id::HostName;
use teaselglade_core::port::ListedHost;

use super::{LeavingNotice, MemberEntry, MessageRefusal};

/// What happened.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// The time of [`super::MembershipMachine::next_wake`] came.
    Wake,
    /// The host list was read.
    HostList(Vec<ListedHost>),
    /// A peer sent a message.
    Request {
        /// Token to answer with.
        token: u64,
        /// The message.
        body: Bytes,
    },
    /// A peer answered.
    AnswerReceived {
        /// The peer.
        peer: HostName,
        /// The answer.
        body: Bytes,
    },
    /// A call to a peer failed.
    CallFailed {
        /// The peer.
        peer: HostName,
    },
    /// The platform told that a host is leaving.
    NoticeReceived(LeavingNotice),
    /// A version of the table came into force here.
    TableActivated {
        /// The version.
        version: u64,
    },
    /// This host's demand shares changed.
    DemandChanged {
        /// The shares, encoded by their own module.
        demand: String,
    },
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message to a peer.
    Send {
        /// The peer.
        peer: HostName,
        /// Its address.
        address: SocketAddr,
        /// The message.
        body: Bytes,
    },
    /// Answer a peer's message.
    Answer {
        /// Token of the message.
        token: u64,
        /// The answer.
        body: Bytes,
    },
    /// Refuse a peer's message.
    Refuse {
        /// Token of the message.
        token: u64,
        /// Why.
        refusal: MessageRefusal,
    },
    /// Fetch the table from a peer that has a higher version.
    PullTable {
        /// The peer.
        peer: HostName,
        /// Its address.
        address: SocketAddr,
        /// Its version.
        version: u64,
    },
    /// Give a host no new work.
    HostLeaving(LeavingNotice),
    /// An entry host is new, was replaced or changed its liveness.
    MemberChanged(MemberEntry),
    /// A peer told its demand shares.
    DemandReceived {
        /// The peer.
        peer: HostName,
        /// The shares, encoded by their own module.
        demand: String,
    },
}
