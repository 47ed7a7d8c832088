//! Reserves fetches at the weight store, one at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;

/// Reservations of fetches at the weight store, with one call in flight at a time.
#[derive(Debug, Default)]
pub(super) struct WeightReservations {
    /// Host and item of the call in flight.
    in_flight: Option<(HostName, String)>,
    next_call: Timestamp,
    /// Items that each host may fetch.
    granted: BTreeMap<HostName, Vec<String>>,
}

impl WeightReservations {
    /// Clears all reservations; a new lease holder reserves again.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether `host` may fetch `item`.
    pub(super) fn is_granted(&self, host: &HostName, item: &str) -> bool {
        let items = self.granted.get(host);
        items.is_some_and(|items| items.iter().any(|granted| granted == item))
    }

    /// Starts a call for `item`; returns `false` if no call may be made now.
    pub(super) fn start(&mut self, now: Timestamp, host: &HostName, item: &str) -> bool {
        if self.in_flight.is_some() || now < self.next_call {
            return false;
        }
        self.in_flight = Some((host.clone(), item.to_owned()));
        true
    }

    /// Records the store's response; an error is the time to wait before the next call.
    pub(super) fn record_result(
        &mut self,
        now: Timestamp,
        item: &str,
        result: Result<(), Duration>,
    ) {
        let Some((host, _)) = self.in_flight.take_if(|(_, requested)| requested == item) else {
            return;
        };
        match result {
            Ok(()) => self.granted.entry(host).or_default().push(item.to_owned()),
            Err(wait) => self.next_call = now + wait,
        }
    }

    /// Drops the grants of all hosts except `hosts`.
    pub(super) fn retain(&mut self, hosts: &BTreeSet<&HostName>) {
        self.granted.retain(|host, _| hosts.contains(host));
    }

    /// Drops the grants of a host.
    pub(super) fn clear(&mut self, host: &HostName) {
        self.granted.remove(host);
    }
}
