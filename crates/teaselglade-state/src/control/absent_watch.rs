//! Finds hosts that failed: paid for, but not in the host list.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;

use super::ControlLimits;
use super::fleet_view::{FleetView, OrderedHost};

/// Part of a zone's hosts that may be absent before the host list itself is doubted.
const DOUBT_DIVISOR: usize = 3;

/// Finds hosts that the cloud API shows as up and the host list does not show.
#[derive(Debug, Default)]
pub(super) struct AbsentWatch {
    since: BTreeMap<HostName, Timestamp>,
    next_release: Timestamp,
    /// Time at which a host counts as failed, unless the lists show it before.
    due: Option<Timestamp>,
}

impl AbsentWatch {
    /// Returns whether a host counts as failed where the lists still do not show it.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.due.is_some_and(|due| now >= due)
    }

    /// Returns the failed host to give back now, one at a time.
    pub(super) fn plan(
        &mut self,
        now: Timestamp,
        zone: &str,
        view: &FleetView,
        limits: &ControlLimits,
    ) -> Option<HostName> {
        let is_ours = |ordered: &&OrderedHost| {
            let host = &ordered.host;
            ordered.slot.is_some() && host.order.zone == zone && view.stays(host)
        };
        let ours = view.cloud.values().filter(is_ours);
        let ours = ours.map(|ordered| &ordered.host).collect::<Vec<_>>();
        let absent = ours.iter().filter(|h| !view.servers.contains_key(&h.name));
        let absent = absent.map(|host| host.name.clone()).collect::<Vec<_>>();
        self.since.retain(|name, _| absent.contains(name));
        for name in &absent {
            self.since.entry(name.clone()).or_insert(now);
        }
        let is_doubtful = absent.len() > 1 && absent.len() * DOUBT_DIVISOR > ours.len();
        let first = self.since.iter().min_by_key(|(_, since)| **since);
        let first = first.filter(|_| !is_doubtful);
        self.due = first.map(|(_, since)| self.next_release.max(*since + limits.absence_timeout));
        if !self.is_due(now) {
            return None;
        }
        self.next_release = now + limits.absence_timeout;
        self.due = None;
        first.map(|(name, _)| name.clone())
    }
}
