//! Selects the peers that this host calls.

use rand::Rng;
use rand::seq::SliceRandom;
use teaselglade_core::id::HostKey;

use super::MembershipMachine;

impl MembershipMachine {
    /// Returns the next peer of a shuffled round, in which each peer is called once.
    pub(super) fn next_heartbeat_peer(&mut self) -> Option<HostKey> {
        for _ in 0..2 {
            while let Some(key) = self.heartbeat_order.pop() {
                if self.is_reachable(key) {
                    return Some(key);
                }
            }
            self.heartbeat_order = self.members.keys().collect();
            self.heartbeat_order.shuffle(&mut self.random);
        }
        None
    }

    pub(super) fn random_peer(&mut self) -> Option<HostKey> {
        let keys = self.members.keys().filter(|key| self.is_reachable(*key));
        let keys = keys.collect::<Vec<_>>();
        self.pick(&keys)
    }

    pub(super) fn random_failed_peer(&mut self) -> Option<HostKey> {
        let keys = self.members.keys().filter(|key| !self.is_reachable(*key));
        let keys = keys.collect::<Vec<_>>();
        self.pick(&keys)
    }

    fn pick(&mut self, keys: &[HostKey]) -> Option<HostKey> {
        if keys.is_empty() {
            return None;
        }
        Some(keys[self.random.random_range(0..keys.len())])
    }

    fn is_reachable(&self, key: HostKey) -> bool {
        let slot = self.members.get(key);
        slot.is_some_and(|slot| slot.entry.is_reachable())
    }
}
