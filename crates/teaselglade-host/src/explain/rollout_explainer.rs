//! Reads how the roll-outs stand from the state that decides on them.

use std::cmp::Reverse;
use std::collections::HashMap;

use teaselglade_routing::registry::ServerRegistry;
use teaselglade_routing::rollout::{RolloutView, UNLISTED_SERVERS};

use super::{NamedTally, RolloutList, ServiceReport};
use crate::rollout::leads_rollouts;
use crate::state::HostState;

/// Path at which the admin listener tells how the roll-outs stand.
pub const ROLLOUTS_PATH: &str = "/rollouts";

/// Returns how the roll-outs that this host knows stand, without changing them.
#[must_use]
pub fn explain_rollouts(host: &HostState) -> RolloutList {
    let now = host.now();
    let decisions = host.lock_decisions();
    let peers: Vec<&str> = decisions.membership.peer_names().collect();
    let views = decisions.rollouts.views(now, &peers).into_iter();
    RolloutList {
        host: host.settings.name.clone(),
        leads: leads_rollouts(host, &decisions.membership),
        rollouts: views
            .map(|view| with_names(&decisions.registry, view))
            .collect(),
    }
}

/// Names the servers of a view.
fn with_names(registry: &ServerRegistry, mut view: RolloutView) -> ServiceReport {
    let servers = registry.of_service(&view.order.service);
    let mut names: HashMap<u64, &str> = servers
        .map(|(_, server)| (server.incarnation_hash(), server.registration.id.as_str()))
        .collect();
    names.insert(UNLISTED_SERVERS, "all others");
    let tallies = std::mem::take(&mut view.servers).into_iter();
    let mut servers: Vec<NamedTally> = tallies
        .filter(|tally| tally.server != 0)
        .map(|tally| NamedTally {
            server: names.get(&tally.server).map(|name| (*name).to_owned()),
            tally,
        })
        .collect();
    servers.sort_by_key(|server| Reverse((server.tally.failures, server.tally.answers)));
    ServiceReport { view, servers }
}
