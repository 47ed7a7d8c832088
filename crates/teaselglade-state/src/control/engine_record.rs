//! State of one engine as the control role knows it.

use std::net::SocketAddr;

use teaselglade_core::id::HostIncarnation;
use teaselglade_core::port::{EngineGoal, EngineStatus};
use teaselglade_core::time::Timestamp;

/// Change of an engine's state by an order.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct EngineChange {
    pub(super) from: Option<EngineGoal>,
    pub(super) to: EngineGoal,
    /// Whether the order restores a confirmed state that the engine had left.
    pub(super) is_correction: bool,
}

/// State of one engine as the control role knows it.
#[derive(Debug, Clone)]
pub(super) struct EngineRecord {
    pub(super) address: SocketAddr,
    pub(super) incarnation: HostIncarnation,
    /// State that was read or ordered last; `None` after a lost response.
    pub(super) status: Option<EngineStatus>,
    pub(super) in_flight: bool,
    /// Whether the engine rejected the fencing number of the current lease.
    pub(super) rejected_number: bool,
    pub(super) next_read: Timestamp,
    /// Time since which the engine is known to be draining.
    pub(super) draining_since: Option<Timestamp>,
    /// Change of an order whose result is not known yet.
    pub(super) pending_change: Option<EngineChange>,
    /// State that was confirmed last; distinguishes a correction from a first order.
    pub(super) confirmed_goal: Option<EngineGoal>,
}

impl EngineRecord {
    pub(super) const fn new(address: SocketAddr, incarnation: HostIncarnation) -> Self {
        Self {
            address,
            incarnation,
            status: None,
            in_flight: false,
            rejected_number: false,
            next_read: Timestamp::ZERO,
            draining_since: None,
            pending_change: None,
            confirmed_goal: None,
        }
    }

    /// Returns the change that an order of the state `to` would make now.
    pub(super) fn change_to(&self, to: EngineGoal) -> EngineChange {
        let from = self.status.as_ref().map(|status| status.goal.clone());
        let is_correction =
            self.confirmed_goal.as_ref() == Some(&to) && from != self.confirmed_goal;
        EngineChange {
            from,
            to,
            is_correction,
        }
    }

    /// Sets the state that was read or ordered.
    pub(super) fn update_status(&mut self, now: Timestamp, status: EngineStatus) {
        if !status.goal.drain {
            self.draining_since = None;
        } else if self.draining_since.is_none() {
            self.draining_since = Some(now);
        }
        self.status = Some(status);
    }

    /// Returns the first model or adapter of `goal` that is neither loaded nor granted.
    pub(super) fn missing_item<'a>(
        &self,
        goal: &'a EngineGoal,
        is_granted: impl Fn(&str) -> bool,
    ) -> Option<&'a str> {
        let loaded = self.status.as_ref().map(|status| &status.goal);
        let model = goal.model.as_deref();
        let model = model.filter(|_| loaded.is_none_or(|loaded| loaded.model != goal.model));
        let is_loaded =
            |adapter: &String| loaded.is_some_and(|loaded| loaded.adapters.contains(adapter));
        let adapters = goal.adapters.iter().filter(|adapter| !is_loaded(adapter));
        let mut items = model.into_iter().chain(adapters.map(String::as_str));
        items.find(|item| !is_granted(item))
    }
}
