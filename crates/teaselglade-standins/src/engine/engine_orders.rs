//! Desired state of an engine, as ordered last.

use teaselglade_wire::{EngineOrder, EngineState};

/// Holds the desired state of one engine and checks fencing numbers.
#[derive(Debug)]
pub(super) struct EngineOrders {
    is_fenced: bool,
    state: EngineState,
}

impl EngineOrders {
    pub(super) const fn new(is_fenced: bool) -> Self {
        let state = EngineState {
            number: 0,
            drain: false,
            model: None,
            adapters: Vec::new(),
            role: None,
        };
        Self { is_fenced, state }
    }

    /// Applies an order and returns the new state.
    ///
    /// A fenced engine rejects an order with a stale fencing number; the error is its state.
    pub(super) fn apply(&mut self, order: EngineOrder) -> Result<EngineState, EngineState> {
        if self.is_fenced && order.number < self.state.number {
            return Err(self.state.clone());
        }
        let EngineOrder {
            number,
            drain,
            model,
            adapters,
            role,
        } = order;
        self.state = EngineState {
            number,
            drain,
            model,
            adapters,
            role,
        };
        Ok(self.state.clone())
    }

    pub(super) const fn state(&self) -> &EngineState {
        &self.state
    }
}
