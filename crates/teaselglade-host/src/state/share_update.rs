//! Shares of services, granted anew at each gossip interval.

use teaselglade_routing::share::{ServiceRoom, ShareReport};

use super::HostState;

/// Digests per report of demand while no service is short of room.
const DIGESTS_PER_CALM_REPORT: u64 = 2;
/// Fraction of their measured prefill speed that engines are known to do beside decoding.
const LEAST_SPEED_SHARE: f64 = 0.6;

impl HostState {
    /// Grants shares by the newest sums; returns the report of this host's demand, if one is due.
    pub fn update_shares(&self, digest_number: u64) -> Option<ShareReport> {
        let now = self.now();
        let active = self.table()?;
        let mut decisions = self.lock_decisions();
        let decisions = &mut *decisions;
        let hosts = decisions.membership.peer_count() as u32 + 1;
        decisions.shares.set_fleet_size(hosts);
        let services = active.table.spec().services.iter();
        let engines = services.filter(|service| service.engine.is_some());
        let rooms: Vec<ServiceRoom<'_>> = engines
            .map(|service| {
                let speed = decisions.engine_placer.speed(&service.name);
                ServiceRoom {
                    service: &service.name,
                    servers: decisions.registry.available(now, &service.name).count() as f64,
                    least_per_server: speed.tokens_per_second() * LEAST_SPEED_SHARE,
                }
            })
            .collect();
        decisions.shares.rebalance(now, &rooms);
        let mut is_scarce = false;
        for room in &rooms {
            let scarce_room = decisions.shares.scarce_room(room.service);
            is_scarce |= scarce_room.is_some();
            self.metrics.shares.set_room(room.service, scarce_room);
        }
        self.metrics.shares.set_shares(&decisions.shares.states());
        let is_due = is_scarce || digest_number.is_multiple_of(DIGESTS_PER_CALM_REPORT);
        let report = is_due.then(|| decisions.shares.report(now, &self.settings.name));
        report.filter(|report| !report.is_empty())
    }
}
