//! Desired state that an engine was ordered to take.

use teaselglade_wire::{EngineOrder, EngineState};

/// Desired state of one engine.
#[derive(Debug)]
pub(super) struct EngineOrders {
    fenced: bool,
    state: EngineState,
}

impl EngineOrders {
    pub(super) const fn new(fenced: bool) -> Self {
        let state = EngineState {
            number: 0,
            drain: false,
            model: None,
            adapters: Vec::new(),
            role: None,
        };
        Self { fenced, state }
    }

    /// Takes an order, unless its number is old and the engine checks numbers.
    pub(super) fn take(&mut self, order: EngineOrder) -> Result<EngineState, EngineState> {
        if self.fenced && order.number < self.state.number {
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
