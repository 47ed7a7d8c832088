//! Detects failed hosts: paid for, but missing from the host list.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;

use super::ControlLimits;
use super::fleet_view::{FleetView, OrderedHost};

/// The host list counts as unreliable if more than one in this many hosts of a zone are absent.
///
/// A single absent host never makes it unreliable.
const UNRELIABLE_LIST_DIVISOR: usize = 3;

/// Tracks hosts that the cloud API reports as up but the host list lacks.
#[derive(Debug, Default)]
pub(super) struct AbsenceTracker {
    /// Time at which each host was first seen to be absent.
    absent_since: BTreeMap<HostName, Timestamp>,
    next_release: Timestamp,
    /// Time at which the next host counts as failed, unless the host list contains it by then.
    next_failure: Option<Timestamp>,
}

impl AbsenceTracker {
    /// Returns whether a host counts as failed if the host list still lacks it.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.next_failure.is_some_and(|at| now >= at)
    }

    /// Returns the failed host to release now, at most one per `absence_timeout`.
    pub(super) fn plan(
        &mut self,
        now: Timestamp,
        zone: &str,
        view: &FleetView,
        limits: &ControlLimits,
    ) -> Option<HostName> {
        let is_managed = |ordered: &&OrderedHost| {
            let host = &ordered.host;
            ordered.slot.is_some() && host.order.zone == zone && view.is_staying(host)
        };
        let managed = view.cloud_hosts.values().filter(is_managed);
        let managed = managed.map(|ordered| &ordered.host).collect::<Vec<_>>();
        let absent = managed
            .iter()
            .filter(|h| !view.servers.contains_key(&h.name));
        let absent = absent.map(|host| host.name.clone()).collect::<Vec<_>>();
        self.absent_since.retain(|name, _| absent.contains(name));
        for name in &absent {
            self.absent_since.entry(name.clone()).or_insert(now);
        }
        let is_list_unreliable =
            absent.len() > 1 && absent.len() * UNRELIABLE_LIST_DIVISOR > managed.len();
        let longest_absent = self.absent_since.iter().min_by_key(|(_, since)| **since);
        let longest_absent = longest_absent.filter(|_| !is_list_unreliable);
        self.next_failure =
            longest_absent.map(|(_, since)| self.next_release.max(*since + limits.absence_timeout));
        if !self.is_due(now) {
            return None;
        }
        self.next_release = now + limits.absence_timeout;
        self.next_failure = None;
        longest_absent.map(|(name, _)| name.clone())
    }
}
