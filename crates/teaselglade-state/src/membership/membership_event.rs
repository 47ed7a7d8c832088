//! Events and actions of the membership state machine.

use std::net::SocketAddr;

use bytes::Bytes;
use teaselglade_core::id::HostName;
use teaselglade_core::port::ListedHost;

use super::{LeavingNotice, MemberEntry, MessageRefusal};

/// Input of the membership state machine.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// The time returned by [`super::MembershipMachine::next_wake`] was reached.
    Wake,
    /// The host list was read.
    HostList(Vec<ListedHost>),
    /// A peer sent a request.
    Request {
        /// Token that the answer or refusal carries.
        token: u64,
        /// The encoded message.
        body: Bytes,
    },
    /// A peer answered a request of this host.
    AnswerReceived {
        /// The peer that was called.
        peer: HostName,
        /// The encoded answer.
        body: Bytes,
    },
    /// A request to a peer failed.
    CallFailed {
        /// The peer that was called.
        peer: HostName,
    },
    /// The platform announced that a host is leaving.
    NoticeReceived(LeavingNotice),
    /// A version of the table became active on this host.
    TableActivated {
        /// Number of the version.
        version: u64,
    },
    /// This host's demand shares changed.
    DemandChanged {
        /// The encoded shares; opaque to this module.
        demand: String,
    },
}

/// Output of the membership state machine, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Sends a request to a peer.
    Send {
        /// Name of the peer.
        peer: HostName,
        /// Address of the peer.
        address: SocketAddr,
        /// The encoded message.
        body: Bytes,
    },
    /// Answers a peer's request.
    Answer {
        /// Token of the request.
        token: u64,
        /// The encoded answer.
        body: Bytes,
    },
    /// Refuses a peer's request.
    Refuse {
        /// Token of the request.
        token: u64,
        /// Reason for the refusal.
        refusal: MessageRefusal,
    },
    /// Fetches the table from a peer that has a higher version.
    PullTable {
        /// Name of the peer.
        peer: HostName,
        /// Address of the peer.
        address: SocketAddr,
        /// Version of the table at the peer.
        version: u64,
    },
    /// Stops giving new work to a host that is leaving.
    HostLeaving(LeavingNotice),
    /// Reports an entry host that is new, was replaced or changed its liveness.
    MemberChanged(MemberEntry),
    /// Reports the demand shares of a peer.
    DemandReceived {
        /// Name of the peer.
        peer: HostName,
        /// The encoded shares; opaque to this module.
        demand: String,
    },
}
