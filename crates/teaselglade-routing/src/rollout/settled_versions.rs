//! Versions of services that take traffic without an order.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use crate::registry::ServerRegistry;

/// Time for which servers of a version that appears get no requests without an order for it.
///
/// Their registrations may reach a host before the order; an order reaches all hosts sooner.
const ORDER_WAIT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Default)]
struct ServiceVersions {
    first_seen: BTreeMap<u64, Timestamp>,
    settled: Arc<[u64]>,
    /// Versions that a completed order left and whose servers have not all gone.
    left: BTreeSet<u64>,
}

/// Versions of services that take traffic without an order.
#[derive(Debug, Clone, Default)]
pub(super) struct SettledVersions {
    services: HashMap<String, ServiceVersions>,
}

impl SettledVersions {
    /// Returns the versions of a service that take traffic, if some others do not.
    pub(super) fn of_service(&self, service: &str) -> Option<&Arc<[u64]>> {
        let versions = self.services.get(service)?;
        (!versions.settled.is_empty()).then_some(&versions.settled)
    }

    /// Reads the versions that servers register; those in `barred` stay out.
    ///
    /// Of the versions that a host finds at its start, the one of the oldest server is in service.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        service: &str,
        barred: &[u64],
    ) {
        let mut oldest = None;
        let mut present = BTreeSet::new();
        for (_, server) in registry.of_service(service) {
            let (version, started_at) = (server.version_hash(), server.registration.started_at_ms);
            present.insert(version);
            if oldest.is_none_or(|(known, _)| started_at < known) {
                oldest = Some((started_at, version));
            }
        }
        let Some((_, oldest)) = oldest else {
            return;
        };
        let versions = self.services.entry(service.to_owned()).or_default();
        if versions.first_seen.is_empty()
            && versions.settled.is_empty()
            && !barred.contains(&oldest)
        {
            versions.settled = Arc::new([oldest]);
        }
        for version in &present {
            versions.first_seen.entry(*version).or_insert(now);
        }
        versions
            .first_seen
            .retain(|version, _| present.contains(version));
        versions.left.retain(|version| present.contains(version));
        let is_settled = |(version, seen_at): (&u64, &Timestamp)| {
            let is_in = versions.settled.contains(version) || now.since(*seen_at) >= ORDER_WAIT;
            let is_out = barred.contains(version) || versions.left.contains(version);
            (is_in && !is_out).then_some(*version)
        };
        let settled: Vec<u64> = versions.first_seen.iter().filter_map(is_settled).collect();
        if *settled != *versions.settled {
            versions.settled = settled.into();
        }
    }

    /// Takes a version out of service, because an order decides on it.
    pub(super) fn remove(&mut self, service: &str, version: u64) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.left.remove(&version);
            let settled = versions.settled.iter().copied();
            versions.settled = settled.filter(|settled| *settled != version).collect();
        }
    }

    /// Makes a version the one in service, and leaves the others that have servers.
    pub(super) fn settle(&mut self, registry: &ServerRegistry, service: &str, version: u64) {
        let versions = self.services.entry(service.to_owned()).or_default();
        versions.settled = Arc::new([version]);
        let present = registry.of_service(service);
        let present = present.map(|(_, server)| server.version_hash());
        versions.left = present.filter(|present| *present != version).collect();
    }
}
