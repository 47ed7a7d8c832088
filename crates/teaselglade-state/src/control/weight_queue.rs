//! Asks the weight store for one fetch after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;

/// Reservations at the weight store, one call at a time.
#[derive(Debug, Default)]
pub(super) struct WeightQueue {
    asking: Option<(HostName, String)>,
    next_ask: Timestamp,
    /// Items that the store lets each host fetch.
    granted: BTreeMap<HostName, Vec<String>>,
}

impl WeightQueue {
    /// Forgets all reservations; a new holder of the lease asks anew.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the store lets `host` fetch `item`.
    pub(super) fn is_granted(&self, host: &HostName, item: &str) -> bool {
        let items = self.granted.get(host);
        items.is_some_and(|items| items.iter().any(|granted| granted == item))
    }

    /// Starts to ask for `item`, where the store may be asked now.
    pub(super) fn ask(&mut self, now: Timestamp, host: &HostName, item: &str) -> bool {
        if self.asking.is_some() || now < self.next_ask {
            return false;
        }
        self.asking = Some((host.clone(), item.to_owned()));
        true
    }

    /// Notes the store's answer.
    pub(super) fn note_answer(&mut self, now: Timestamp, item: &str, result: Result<(), Duration>) {
        let Some((host, _)) = self.asking.take_if(|(_, asked)| asked == item) else {
            return;
        };
        match result {
            Ok(()) => self.granted.entry(host).or_default().push(item.to_owned()),
            Err(wait) => self.next_ask = now + wait,
        }
    }

    /// Forgets what hosts other than `hosts` were granted.
    pub(super) fn retain(&mut self, hosts: &BTreeSet<&HostName>) {
        self.granted.retain(|host, _| hosts.contains(host));
    }

    /// Forgets what a host was granted.
    pub(super) fn clear(&mut self, host: &HostName) {
        self.granted.remove(host);
    }
}
