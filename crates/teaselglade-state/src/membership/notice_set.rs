//! Notices that are never taken back.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::time::Timestamp;

use super::LeavingNotice;
use super::slice_digest::{name_hash, slice_of, stable_hash};

/// Longer than the longest time that regions lose each other, plus the host list's lag.
const NOTICE_LIFETIME: Duration = Duration::from_hours(2);

#[derive(Debug, Clone)]
struct NoticeSlot {
    notice: LeavingNotice,
    name_hash: u64,
    notice_hash: u64,
}

/// Leaving notices by host; the one of the highest incarnation holds.
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

    pub(super) fn is_leaving(&self, host: &HostName, incarnation: HostIncarnation) -> bool {
        self.get(host)
            .is_some_and(|notice| notice.incarnation >= incarnation)
    }

    /// Adds a notice and returns whether it was new.
    ///
    /// Notices of an incarnation that is known to leave change nothing.
    pub(super) fn add(&mut self, now: Timestamp, notice: LeavingNotice) -> bool {
        let is_known = self.is_leaving(&notice.host, notice.incarnation);
        if is_known || now - notice.issued > NOTICE_LIFETIME {
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

    pub(super) fn forget_old(&mut self, now: Timestamp) {
        self.slots
            .retain(|_, slot| now - slot.notice.issued <= NOTICE_LIFETIME);
    }

    pub(super) fn in_slice(&self, index: u16, slices: u16) -> impl Iterator<Item = &LeavingNotice> {
        self.slots
            .values()
            .filter(move |slot| slice_of(slot.name_hash, slices) == index)
            .map(|slot| &slot.notice)
    }

    pub(super) fn digest(&self, index: u16, slices: u16) -> u64 {
        self.slots
            .values()
            .filter(|slot| slice_of(slot.name_hash, slices) == index)
            .fold(0, |digest, slot| digest ^ slot.notice_hash)
    }
}
