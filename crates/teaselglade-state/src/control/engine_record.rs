//! What the control role knows of one engine.

use std::net::SocketAddr;

use teaselglade_core::id::HostIncarnation;
use teaselglade_core::port::{EngineGoal, EngineStatus};
use teaselglade_core::time::Timestamp;

/// Change that an order made.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct EngineChange {
    pub(super) from: Option<EngineGoal>,
    pub(super) to: EngineGoal,
    /// Whether the engine had left a state that was confirmed before.
    pub(super) is_correction: bool,
}

/// What the control role knows of one engine.
#[derive(Debug, Clone)]
pub(super) struct EngineRecord {
    pub(super) address: SocketAddr,
    pub(super) incarnation: HostIncarnation,
    /// State as it was read or ordered last; none after a lost answer.
    pub(super) status: Option<EngineStatus>,
    pub(super) in_flight: bool,
    /// Whether the engine refused the number of this term.
    pub(super) is_fenced: bool,
    pub(super) next_read: Timestamp,
    /// Time at which the engine was first known to drain.
    pub(super) drained_since: Option<Timestamp>,
    /// State before and after an order whose answer was lost.
    pub(super) unanswered: Option<EngineChange>,
    /// State that was ordered and confirmed last, to tell a correction from a first order.
    pub(super) confirmed: Option<EngineGoal>,
}

impl EngineRecord {
    pub(super) const fn new(address: SocketAddr, incarnation: HostIncarnation) -> Self {
        Self {
            address,
            incarnation,
            status: None,
            in_flight: false,
            is_fenced: false,
            next_read: Timestamp::ZERO,
            drained_since: None,
            unanswered: None,
            confirmed: None,
        }
    }

    /// Returns the change that an order to take `to` makes now.
    pub(super) fn change_to(&self, to: EngineGoal) -> EngineChange {
        let from = self.status.as_ref().map(|status| status.goal.clone());
        let is_correction = self.confirmed.as_ref() == Some(&to) && from != self.confirmed;
        EngineChange {
            from,
            to,
            is_correction,
        }
    }

    pub(super) fn note_status(&mut self, now: Timestamp, status: EngineStatus) {
        if !status.goal.drain {
            self.drained_since = None;
        } else if self.drained_since.is_none() {
            self.drained_since = Some(now);
        }
        self.status = Some(status);
    }

    /// Returns the first model or adapter of `goal` that the engine does not hold.
    pub(super) fn missing_item<'a>(
        &self,
        goal: &'a EngineGoal,
        is_granted: impl Fn(&str) -> bool,
    ) -> Option<&'a str> {
        let held = self.status.as_ref().map(|status| &status.goal);
        let model = goal.model.as_deref();
        let model = model.filter(|_| held.is_none_or(|held| held.model != goal.model));
        let holds = |adapter: &String| held.is_some_and(|held| held.adapters.contains(adapter));
        let adapters = goal.adapters.iter().filter(|adapter| !holds(adapter));
        let mut items = model.into_iter().chain(adapters.map(String::as_str));
        items.find(|item| !is_granted(item))
    }
}
