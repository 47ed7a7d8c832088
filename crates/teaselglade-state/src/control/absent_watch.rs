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
}

impl AbsentWatch {
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
        if is_doubtful || now < self.next_release {
            return None;
        }
        let mut failed = self.since.iter();
        let failed = failed.find(|(_, since)| now.since(**since) >= limits.absent_limit);
        let name = failed.map(|(name, _)| name.clone())?;
        self.next_release = now + limits.absent_limit;
        Some(name)
    }
}
