//! Adapter to the cloud API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use serde::de::DeserializeOwned;
use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::{
    CloudError, CloudHost, CloudPort, HostOrder, HostPurchase, HostState, PortFuture, ReclaimNotice,
};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::ExecutionVerdict;
use teaselglade_wire::codec::{from_json, to_json};
use teaselglade_wire::{
    CloudEntries, CloudEntry, CloudNotice, CloudNotices, CloudOrder, CloudState, PurchaseKind,
};

use super::retry_after::retry_after;
use crate::client::{CallError, HttpClient, HttpRequest, HttpResponse};

/// Client of the cloud API.
#[derive(Debug)]
pub struct CloudClient {
    client: Arc<HttpClient>,
    address: SocketAddr,
}

impl CloudClient {
    /// Creates a client of the cloud API at `address`.
    #[must_use]
    pub const fn new(client: Arc<HttpClient>, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn order_host(&self, order: HostOrder) -> Result<CloudHost, CloudError> {
        let body = to_json(&cloud_order(order)).map_err(|error| refused(error.to_string()))?;
        let response = self
            .call(HttpRequest::post(self.address, "/hosts", body))
            .await?;
        Ok(cloud_host(decode::<CloudEntry>(&response)?))
    }

    async fn release_host(&self, host: HostName) -> Result<(), CloudError> {
        let request = HttpRequest::new(Method::DELETE, self.address, format!("/hosts/{host}"));
        match self.call(request).await {
            Ok(_released) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn read_hosts(&self) -> Result<Vec<CloudHost>, CloudError> {
        let response = self.call(HttpRequest::get(self.address, "/hosts")).await?;
        let entries = decode::<CloudEntries>(&response)?;
        Ok(entries.hosts.into_iter().map(cloud_host).collect())
    }

    async fn read_notices(&self, after: u64) -> Result<Vec<ReclaimNotice>, CloudError> {
        let path = format!("/notices?after={after}");
        let response = self.call(HttpRequest::get(self.address, path)).await?;
        let notices = decode::<CloudNotices>(&response)?.notices;
        Ok(notices.into_iter().map(reclaim_notice).collect())
    }

    async fn call(&self, request: HttpRequest) -> Result<HttpResponse, CloudError> {
        let response = self.client.call(request).await;
        let response = response.map_err(|error| self.handle_failure(error))?;
        let detail = format!("status {}", response.status);
        match response.status {
            200..300 => Ok(response),
            400..500 | 503 => Err(CloudError::Refused {
                detail,
                retry_after: retry_after(&response),
            }),
            _ => Err(CloudError::Unknown { detail }),
        }
    }

    /// Converts a failed call and drops the pooled connections, which may be broken too.
    fn handle_failure(&self, error: CallError) -> CloudError {
        self.client.reset_connections();
        match ExecutionVerdict::after_attempt(error.progress) {
            ExecutionVerdict::NotRun => refused(error.detail),
            _ => CloudError::Unknown {
                detail: error.detail,
            },
        }
    }
}

impl CloudPort for CloudClient {
    fn order(&self, order: HostOrder) -> PortFuture<'_, Result<CloudHost, CloudError>> {
        Box::pin(self.order_host(order))
    }

    fn release(&self, host: HostName) -> PortFuture<'_, Result<(), CloudError>> {
        Box::pin(self.release_host(host))
    }

    fn hosts(&self) -> PortFuture<'_, Result<Vec<CloudHost>, CloudError>> {
        Box::pin(self.read_hosts())
    }

    fn notices(&self, after: u64) -> PortFuture<'_, Result<Vec<ReclaimNotice>, CloudError>> {
        Box::pin(self.read_notices(after))
    }
}

const fn refused(detail: String) -> CloudError {
    let retry_after: Option<Duration> = None;
    CloudError::Refused {
        detail,
        retry_after,
    }
}

fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CloudError> {
    from_json(&response.body).map_err(|error| CloudError::Unknown {
        detail: error.to_string(),
    })
}

fn cloud_order(order: HostOrder) -> CloudOrder {
    CloudOrder {
        token: order.token,
        service: order.service,
        zone: order.zone,
        class: order.class,
        purchase: match order.purchase {
            HostPurchase::Reclaimable => PurchaseKind::Reclaimable,
            HostPurchase::OnDemand => PurchaseKind::OnDemand,
        },
    }
}

fn cloud_host(entry: CloudEntry) -> CloudHost {
    CloudHost {
        name: HostName::new(entry.name),
        state: match entry.state {
            CloudState::Starting => HostState::Starting,
            CloudState::Running => HostState::Running,
            CloudState::Leaving => HostState::Leaving,
            CloudState::Gone => HostState::Gone,
        },
        order: HostOrder {
            token: entry.order.token,
            service: entry.order.service,
            zone: entry.order.zone,
            class: entry.order.class,
            purchase: match entry.order.purchase {
                PurchaseKind::Reclaimable => HostPurchase::Reclaimable,
                PurchaseKind::OnDemand => HostPurchase::OnDemand,
            },
        },
        cents_per_hour: entry.cents_per_hour,
    }
}

fn reclaim_notice(notice: CloudNotice) -> ReclaimNotice {
    ReclaimNotice {
        number: notice.number,
        host: HostName::new(notice.host),
        incarnation: HostIncarnation(notice.incarnation),
        deadline: Timestamp::from_millis(notice.deadline_ms),
    }
}
