//! Known state of one entry host.

use std::net::SocketAddr;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_wire::{PeerMember, PeerState};

teaselglade_core::value_type! {
    /// Liveness of an entry host.
    ///
    /// At the same sequence number, the variant declared later takes precedence.
    pub enum MemberLiveness {
        /// It answers calls.
        Alive,
        /// It missed heartbeats and may still refute the suspicion.
        Suspect,
        /// It did not refute a suspicion in time.
        Failed,
    }
}

teaselglade_core::value_type! {
    /// Known state of one entry host.
    ///
    /// Of two entries of a host, the one with the higher rank wins: the incarnation is compared
    /// first, then the sequence number, then the liveness. All hosts therefore converge on the
    /// same entry, in whatever order they receive the updates.
    #[derive(Eq)]
    pub struct MemberEntry {
        /// Name of the host.
        pub name: HostName,
        /// Incarnation of the host.
        pub incarnation: HostIncarnation,
        /// Number that the host increments to refute a suspicion.
        pub sequence: u32,
        /// Whether the host answers calls.
        pub liveness: MemberLiveness,
        /// Address at which peers reach the host.
        pub address: SocketAddr,
        /// Data centre of the host.
        pub zone: String,
    }
}

impl MemberEntry {
    /// Returns whether this entry supersedes `other` of the same host.
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

    /// Returns whether the host is not marked as failed; suspects are still called.
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

    /// Converts a received entry; returns `None` if its address is malformed.
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

    /// Converts the entry for a message.
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

/// Precedence of an entry; the order of the fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EntryRank {
    incarnation: HostIncarnation,
    sequence: u32,
    liveness: MemberLiveness,
}
