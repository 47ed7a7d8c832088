//! Roll-outs of services' versions, as a host knows them.

use teaselglade_core::time::Timestamp;
use teaselglade_routing::rollout::{RolloutOrder, RolloutReport};

use super::DecisionState;
use super::decision_state::ASSUMED_HOSTS;

impl DecisionState {
    /// Records an order to change a service's version; returns whether it is new.
    ///
    /// `is_listed` tells whether this host found it in the store when it started.
    pub fn record_order(&mut self, now: Timestamp, order: RolloutOrder, is_listed: bool) -> bool {
        let hosts = self.fleet_size();
        let is_new = self.rollouts.record_order(now, order, hosts, is_listed);
        self.rollouts.read_servers(now, &self.registry);
        is_new
    }

    /// Merges what a peer or an aggregator says of roll-outs.
    pub fn merge_rollouts(&mut self, now: Timestamp, report: RolloutReport) {
        let hosts = self.fleet_size();
        self.rollouts.merge(now, report, hosts);
        self.rollouts.read_servers(now, &self.registry);
    }

    /// Returns the number of hosts, this one included; an assumed one until peers are known.
    fn fleet_size(&self) -> usize {
        match self.membership.peer_count() {
            0 => ASSUMED_HOSTS as usize,
            peers => peers + 1,
        }
    }
}
