//! Verdict that a host finds in the store at its start.

use teaselglade_core::time::Timestamp;

use super::RolloutStage;
use super::service_rollout::ServiceRollout;

/// What is known of a verdict that the store shows for an order's target at a host's start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ListedVerdict {
    /// Whether this host acts on it though no other one confirmed it.
    pub(super) is_provisional: bool,
    /// Whether another host told that the order runs.
    is_running_elsewhere: bool,
}

impl ServiceRollout {
    /// Acts on a listed verdict, unless it is known to be that of another order.
    pub(super) fn adopt_listed(&mut self, now: Timestamp, stage: RolloutStage) {
        let is_other = !self.may_adopt || self.listed.is_running_elsewhere;
        if !is_other && !self.stage.is_final() {
            self.adopt(now, stage);
            self.listed.is_provisional = true;
        }
    }

    /// Confirms or drops a listed verdict by the stage that another host, or the store, has.
    pub(super) fn check_listed(&mut self, now: Timestamp, stage: RolloutStage) {
        self.listed.is_running_elsewhere |= !stage.is_final();
        if self.listed.is_provisional {
            self.listed.is_provisional = false;
            self.adopt(now, stage);
        }
    }
}
