//! What is known of one entry host.

use std::net::SocketAddr;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_wire::{PeerMember, PeerState};

teaselglade_core::value_type! {
    /// Liveness of an entry host; the later value wins at the same sequence number.
    pub enum MemberLiveness {
        /// It answers.
        Alive,
        /// It missed heartbeats.
        Suspect,
        /// It missed them for too long.
        Failed,
    }
}

teaselglade_core::value_type! {
    /// What is known of one entry host.
    ///
    /// Of two entries of a host the one with the higher rank holds: incarnation first, then the
    /// sequence number, then the liveness. All hosts therefore come to the same entry in
    /// whatever order they hear of it.
    #[derive(Eq)]
    pub struct MemberEntry {
        /// Name of the host.
        pub name: HostName,
        /// Incarnation of the host.
        pub incarnation: HostIncarnation,
        /// Number that the host raises to refute a suspicion.
        pub sequence: u32,
        /// Liveness.
        pub liveness: MemberLiveness,
        /// Peer address.
        pub address: SocketAddr,
        /// Data centre.
        pub zone: String,
    }
}

impl MemberEntry {
    /// Returns whether this entry replaces `other` of the same host.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_core::id::{HostIncarnation, HostName};
    /// use teaselglade_state::membership::{MemberEntry, MemberLiveness};
    ///
    /// let alive = MemberEntry {
    ///     name: HostName::new("galway-e1"),
    ///     incarnation: HostIncarnation(1),
    ///     sequence: 0,
    ///     liveness: MemberLiveness::Alive,
    ///     address: "127.0.0.1:1".parse()?,
    ///     zone: "galway".to_owned(),
    /// };
    /// let suspect = MemberEntry { liveness: MemberLiveness::Suspect, ..alive.clone() };
    /// assert!(suspect.replaces(&alive));
    /// let refuted = MemberEntry { sequence: 1, ..alive };
    /// assert!(refuted.replaces(&suspect));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns whether the host is not known to have failed.
    #[must_use]
    pub const fn is_reachable(&self) -> bool {
        !matches!(self.liveness, MemberLiveness::Failed)
    }

    const fn rank(&self) -> EntryRank {
        EntryRank {
            incarnation: self.incarnation,
            sequence: self.sequence,
            liveness: self.liveness,
        }
    }

    /// Reads an entry of a message; none where its address is malformed.
    pub(super) fn from_wire(member: PeerMember) -> Option<Self> {
        Some(Self {
            address: member.addr.parse().ok()?,
            name: HostName::new(member.name),
            incarnation: HostIncarnation(member.start),
            sequence: member.seq,
            liveness: match member.state {
                PeerState::Alive => MemberLiveness::Alive,
                PeerState::Suspect => MemberLiveness::Suspect,
                PeerState::Failed => MemberLiveness::Failed,
            },
            zone: member.zone,
        })
    }

    pub(super) fn to_wire(&self) -> PeerMember {
        PeerMember {
            name: self.name.as_str().to_owned(),
            start: self.incarnation.0,
            seq: self.sequence,
            state: match self.liveness {
                MemberLiveness::Alive => PeerState::Alive,
                MemberLiveness::Suspect => PeerState::Suspect,
                MemberLiveness::Failed => PeerState::Failed,
            },
            addr: self.address.to_string(),
            zone: self.zone.clone(),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EntryRank {
    incarnation: HostIncarnation,
    sequence: u32,
    liveness: MemberLiveness,
}
