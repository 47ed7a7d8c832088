//! Set of leaving notices, which are never withdrawn.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::time::Timestamp;

use super::LeavingNotice;
use super::slice_digest::{name_hash, slice_of, stable_hash};

/// Time for which a notice is kept.
///
/// It exceeds the longest network partition between regions plus the lag of the host list.
const NOTICE_TTL: Duration = Duration::from_hours(2);

#[derive(Debug, Clone)]
struct NoticeSlot {
    notice: LeavingNotice,
    name_hash: u64,
    notice_hash: u64,
}

/// Leaving notices by host; the notice of the highest incarnation is kept.
#[derive(Debug, Clone, Default)]
pub(super) struct NoticeSet {
    slots: BTreeMap<HostName, NoticeSlot>,
}

impl NoticeSet {
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn get(&self, host: &HostName) -> Option<&LeavingNotice> {
        self.slots.get(host).map(|slot| &slot.notice)
    }

    /// Returns whether this incarnation of the host, or a later one, is leaving.
    pub(super) fn is_leaving(&self, host: &HostName, incarnation: HostIncarnation) -> bool {
        self.get(host)
            .is_some_and(|notice| notice.incarnation >= incarnation)
    }

    /// Inserts a notice and returns whether it was new.
    ///
    /// Ignores expired notices and those of an incarnation that is known to be leaving.
    pub(super) fn insert(&mut self, now: Timestamp, notice: LeavingNotice) -> bool {
        let is_known = self.is_leaving(&notice.host, notice.incarnation);
        if is_known || now - notice.issued > NOTICE_TTL {
            return false;
        }
        let slot = NoticeSlot {
            name_hash: name_hash(&notice.host),
            notice_hash: stable_hash(&[
                b"leaving",
                notice.host.as_str().as_bytes(),
                &notice.incarnation.0.to_le_bytes(),
            ]),
            notice: notice.clone(),
        };
        self.slots.insert(notice.host, slot);
        true
    }

    /// Removes the notices that are past their TTL.
    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        self.slots
            .retain(|_, slot| now - slot.notice.issued <= NOTICE_TTL);
    }

    pub(super) fn in_slice(&self, index: u16, slices: u16) -> impl Iterator<Item = &LeavingNotice> {
        self.slots
            .values()
            .filter(move |slot| slice_of(slot.name_hash, slices) == index)
            .map(|slot| &slot.notice)
    }

    /// Returns the digest of a slice.
    pub(super) fn digest(&self, index: u16, slices: u16) -> u64 {
        self.slots
            .values()
            .filter(|slot| slice_of(slot.name_hash, slices) == index)
            .fold(0, |digest, slot| digest ^ slot.notice_hash)
    }
}
