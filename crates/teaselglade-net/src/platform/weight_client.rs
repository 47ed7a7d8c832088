//! Adapter to the weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{PortFuture, WeightPort};
use teaselglade_wire::WeightReserve;
use teaselglade_wire::codec::to_json;

use super::retry_after::retry_after;
use crate::client::{HttpClient, HttpRequest};

const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Client of the weight store.
#[derive(Debug)]
pub struct WeightClient {
    client: Arc<HttpClient>,
    address: SocketAddr,
}

impl WeightClient {
    /// Creates a client of the weight store at `address`.
    #[must_use]
    pub const fn new(client: Arc<HttpClient>, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn reserve_fetch(&self, model: &str) -> Result<(), Duration> {
        let message = WeightReserve {
            model: model.to_owned(),
        };
        let body = to_json(&message).map_err(|_unencodable| DEFAULT_RETRY_DELAY)?;
        let request = HttpRequest::post(self.address, "/reserve", body);
        let response = self.client.call(request).await;
        let response = response.map_err(|_lost| DEFAULT_RETRY_DELAY)?;
        if response.is_success() {
            return Ok(());
        }
        Err(retry_after(&response).unwrap_or(DEFAULT_RETRY_DELAY))
    }
}

impl WeightPort for WeightClient {
    fn reserve<'a>(&'a self, model: &'a str) -> PortFuture<'a, Result<(), Duration>> {
        Box::pin(self.reserve_fetch(model))
    }
}
