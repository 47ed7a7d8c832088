//! Calls of the planner, sent only while the lease term is valid.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{CloudError, EngineError};
use teaselglade_state::control::{ControlAction, ControlEvent};

use super::{ControlPorts, SharedTerm};
use crate::metrics::ControlMetrics;

/// Time after which the planner repeats a reservation that was not sent.
const WITHHELD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Ports and shared state that a call of the planner needs.
#[derive(Debug, Clone)]
pub(super) struct CallContext {
    pub(super) ports: Arc<ControlPorts>,
    pub(super) metrics: Arc<ControlMetrics>,
    pub(super) term: Arc<SharedTerm>,
}

impl CallContext {
    /// Sends the call and returns its result, if the planner expects one.
    ///
    /// The lease term is checked right before the call is sent. A withheld call has the same
    /// result as one whose response was lost, so that the planner reads the state again before it
    /// continues.
    pub(super) async fn call(self, action: ControlAction) -> Option<ControlEvent> {
        if self.term.active(self.ports.clock.now()).is_none() {
            self.metrics.withheld_calls.inc();
            return withheld_result(action);
        }
        let name = call_name(&action);
        let event = self.send(action).await;
        let outcome = if event.as_ref().is_some_and(is_success) {
            "ok"
        } else {
            "failed"
        };
        self.metrics.calls.with_label_values(&[name, outcome]).inc();
        event
    }

    async fn send(&self, action: ControlAction) -> Option<ControlEvent> {
        let ports = &self.ports;
        let requested_at = ports.clock.now();
        Some(match action {
            ControlAction::ReadHosts => ControlEvent::HostsRead {
                requested_at,
                hosts: ports.host_list.hosts().await.ok()?,
            },
            ControlAction::ReadCloud => ControlEvent::CloudRead {
                requested_at,
                hosts: ports.cloud.hosts().await.ok()?,
            },
            ControlAction::ReadNotices { after } => {
                ControlEvent::NoticesRead(ports.cloud.notices(after).await.ok()?)
            }
            ControlAction::OrderHost(order) => ControlEvent::HostOrdered {
                token: order.token.clone(),
                result: ports.cloud.order(order).await,
            },
            ControlAction::ReleaseHost(host) => ControlEvent::HostReleased {
                result: ports.cloud.release(host.clone()).await,
                host,
            },
            ControlAction::ReadEngine { host, address } => ControlEvent::EngineRead {
                host,
                result: ports.engines.state(address).await,
            },
            ControlAction::OrderEngine {
                host,
                address,
                order,
            } => ControlEvent::EngineOrdered {
                host,
                result: ports.engines.order(address, order).await,
            },
            ControlAction::ReadReport { host, address } => ControlEvent::ReportRead {
                host,
                requested_at,
                report: ports.backend.report(address).await.ok()?,
            },
            ControlAction::Reserve { item } => ControlEvent::Reserved {
                result: ports.weights.reserve(&item).await,
                item,
            },
            ControlAction::Record(_) => return None,
        })
    }
}

fn withheld_result(action: ControlAction) -> Option<ControlEvent> {
    let detail = "the lease's time is over".to_owned();
    Some(match action {
        ControlAction::OrderHost(order) => ControlEvent::HostOrdered {
            token: order.token,
            result: Err(CloudError::Unknown { detail }),
        },
        ControlAction::ReleaseHost(host) => ControlEvent::HostReleased {
            host,
            result: Err(CloudError::Unknown { detail }),
        },
        ControlAction::ReadEngine { host, .. } => ControlEvent::EngineRead {
            host,
            result: Err(EngineError::Unknown { detail }),
        },
        ControlAction::OrderEngine { host, .. } => ControlEvent::EngineOrdered {
            host,
            result: Err(EngineError::Unknown { detail }),
        },
        ControlAction::Reserve { item } => ControlEvent::Reserved {
            item,
            result: Err(WITHHELD_RETRY_DELAY),
        },
        _ => return None,
    })
}

const fn call_name(action: &ControlAction) -> &'static str {
    match action {
        ControlAction::ReadHosts => "read_hosts",
        ControlAction::ReadCloud => "read_cloud",
        ControlAction::ReadNotices { .. } => "read_notices",
        ControlAction::OrderHost(_) => "order_host",
        ControlAction::ReleaseHost(_) => "release_host",
        ControlAction::ReadEngine { .. } => "read_engine",
        ControlAction::OrderEngine { .. } => "order_engine",
        ControlAction::ReadReport { .. } => "read_report",
        ControlAction::Reserve { .. } => "reserve",
        ControlAction::Record(_) => "record",
    }
}

const fn is_success(event: &ControlEvent) -> bool {
    match event {
        ControlEvent::HostOrdered { result, .. } => result.is_ok(),
        ControlEvent::HostReleased { result, .. } => result.is_ok(),
        ControlEvent::EngineRead { result, .. } | ControlEvent::EngineOrdered { result, .. } => {
            result.is_ok()
        }
        ControlEvent::Reserved { result, .. } => result.is_ok(),
        _ => true,
    }
}
