//! Client for orders to engines.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselglade_core::port::{EngineError, EngineGoal, EnginePort, EngineStatus, PortFuture};
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{EngineOrder, EngineState};

use crate::client::{HttpClient, HttpRequest};

const FENCED_STATUS: u16 = 409;

/// HTTP client for orders to engines.
#[derive(Debug)]
pub struct EngineClient {
    client: Arc<HttpClient>,
}

impl EngineClient {
    /// Creates a client that sends its requests through `client`.
    #[must_use]
    pub const fn new(client: Arc<HttpClient>) -> Self {
        Self { client }
    }

    async fn send_order(
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
        self.send_request(HttpRequest::post(server, "/orders", body))
            .await
    }

    async fn send_request(&self, request: HttpRequest) -> Result<EngineStatus, EngineError> {
        let response = self.client.call(request).await;
        let response = response.map_err(|error| unknown(error.detail))?;
        if response.status == FENCED_STATUS {
            return Err(EngineError::Fenced);
        }
        if !response.is_success() {
            return Err(unknown(format!("status {}", response.status)));
        }
        let state = from_json::<EngineState>(&response.body);
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
        Box::pin(self.send_order(server, order))
    }

    fn state(&self, server: SocketAddr) -> PortFuture<'_, Result<EngineStatus, EngineError>> {
        Box::pin(self.send_request(HttpRequest::get(server, "/state")))
    }
}

const fn unknown(detail: String) -> EngineError {
    EngineError::Unknown { detail }
}
