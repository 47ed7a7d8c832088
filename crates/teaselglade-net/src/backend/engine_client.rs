//! Client of the orders that engines take.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselglade_core::port::{EngineError, EngineGoal, EnginePort, EngineStatus, PortFuture};
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{EngineOrder, EngineState};

use crate::client::{HttpClient, HttpRequest};

const FENCED_STATUS: u16 = 409;

/// Client of the orders that engines take.
#[derive(Debug)]
pub struct EngineClient {
    caller: Arc<HttpClient>,
}

impl EngineClient {
    /// Makes a client that calls over the given connections.
    #[must_use]
    pub const fn new(caller: Arc<HttpClient>) -> Self {
        Self { caller }
    }

    async fn order_state(
        &self,
        server: SocketAddr,
        order: EngineStatus,
    ) -> Result<EngineStatus, EngineError> {
        let message = EngineOrder {
            number: order.number,
            drain: order.goal.drain,
            model: order.goal.model,
            adapters: order.goal.adapters,
            role: order.goal.role,
        };
        let body = to_json(&message).map_err(|error| unknown(error.to_string()))?;
        self.read_answer(HttpRequest::post(server, "/orders", body))
            .await
    }

    async fn read_answer(&self, call: HttpRequest) -> Result<EngineStatus, EngineError> {
        let answer = self.caller.call(call).await;
        let answer = answer.map_err(|error| unknown(error.detail))?;
        if answer.status == FENCED_STATUS {
            return Err(EngineError::Fenced);
        }
        if !answer.is_success() {
            return Err(unknown(format!("status {}", answer.status)));
        }
        let state = from_json::<EngineState>(&answer.body);
        let state = state.map_err(|error| unknown(error.to_string()))?;
        Ok(EngineStatus {
            number: state.number,
            goal: EngineGoal {
                drain: state.drain,
                model: state.model,
                adapters: state.adapters,
                role: state.role,
            },
        })
    }
}

impl EnginePort for EngineClient {
    fn order(
        &self,
        server: SocketAddr,
        order: EngineStatus,
    ) -> PortFuture<'_, Result<EngineStatus, EngineError>> {
        Box::pin(self.order_state(server, order))
    }

    fn state(&self, server: SocketAddr) -> PortFuture<'_, Result<EngineStatus, EngineError>> {
        Box::pin(self.read_answer(HttpRequest::get(server, "/state")))
    }
}

const fn unknown(detail: String) -> EngineError {
    EngineError::Unknown { detail }
}
