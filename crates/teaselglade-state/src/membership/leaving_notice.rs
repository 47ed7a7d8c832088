//! Notice that a host is about to leave the fleet.

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::time::Timestamp;
use teaselglade_wire::PeerNotice;

teaselglade_core::value_type! {
    /// Notice that one incarnation of a host is leaving.
    #[derive(Eq)]
    pub struct LeavingNotice {
        /// Name of the host.
        pub host: HostName,
        /// Incarnation that is leaving; older incarnations count as leaving too.
        pub incarnation: HostIncarnation,
        /// Whether the host is an entry host.
        pub is_entry: bool,
        /// When the notice was issued.
        pub issued: Timestamp,
        /// When the platform reclaims the host; not later than `issued` if unknown.
        pub deadline: Timestamp,
    }
}

impl From<&LeavingNotice> for PeerNotice {
    fn from(notice: &LeavingNotice) -> Self {
        Self {
            name: notice.host.as_str().to_owned(),
            start: notice.incarnation.0,
            entry: notice.is_entry,
            at_ms: notice.issued.as_millis(),
            end_ms: notice.deadline.as_millis(),
        }
    }
}

impl From<PeerNotice> for LeavingNotice {
    fn from(notice: PeerNotice) -> Self {
        Self {
            host: HostName::new(notice.name),
            incarnation: HostIncarnation(notice.start),
            is_entry: notice.entry,
            issued: Timestamp::from_millis(notice.at_ms),
            deadline: Timestamp::from_millis(notice.end_ms),
        }
    }
}
