//! Simulated cloud API, host list, engines and weight store in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::{
    CloudError, CloudHost, EngineError, EngineStatus, HostOrder, HostPurchase, HostState,
    ListedHost, ListedRole, ReclaimNotice, ServerReport,
};
use teaselglade_core::table::RoutingTable;
use teaselglade_core::time::Timestamp;
use teaselglade_state::control::HostOffer;

pub const START_TIME: Duration = Duration::from_secs(20);
const LIST_LAG: Duration = Duration::from_secs(3);

/// Zone, class and purchase of an offer.
pub type OfferKind = (String, String, HostPurchase);

#[derive(Debug, Clone)]
pub struct FakeHost {
    pub name: HostName,
    pub order: HostOrder,
    pub cents_per_hour: f64,
    pub started_at: Timestamp,
    /// Time at which a reclaim notice was sent.
    pub noticed_at: Option<Timestamp>,
    /// Time at which the host is gone.
    pub ends_at: Option<Timestamp>,
    pub engine: EngineStatus,
    pub running: u32,
    /// Whether the host failed without the cloud API's knowledge.
    pub has_failed: bool,
}

impl FakeHost {
    fn state(&self, now: Timestamp) -> HostState {
        match self.ends_at {
            Some(end) if now >= end => HostState::Gone,
            Some(_) => HostState::Leaving,
            None if now < self.started_at + START_TIME => HostState::Starting,
            None => HostState::Running,
        }
    }

    /// Returns whether the host is starting or running, neither released nor reclaimed.
    pub fn is_staying(&self, now: Timestamp) -> bool {
        matches!(self.state(now), HostState::Starting | HostState::Running)
    }

    fn is_listed(&self, now: Timestamp) -> bool {
        let is_shown = now >= self.started_at + START_TIME + LIST_LAG;
        is_shown && !self.has_failed && self.ends_at.is_none_or(|end| now < end + LIST_LAG)
    }
}

#[derive(Debug, Default)]
pub struct Platform {
    pub now: Timestamp,
    pub table: RoutingTable,
    pub offers: Vec<HostOffer>,
    pub entry_zones: BTreeSet<String>,
    pub hosts: Vec<FakeHost>,
    pub rejected_offers: BTreeSet<OfferKind>,
    pub notices: Vec<ReclaimNotice>,
    /// Number of fetches that the weight store grants at present.
    pub available_fetches: u32,
    pub reservations: u32,
    /// Time between two tokens in load reports, in microseconds.
    pub token_gap_micros: u64,
    pub model_loads: u32,
}

impl Platform {
    pub fn order(&mut self, order: &HostOrder) -> Result<CloudHost, CloudError> {
        let known = self.hosts.iter().find(|h| h.order.token == order.token);
        if let Some(host) = known {
            return Ok(self.cloud_host(host));
        }
        let kind = (order.zone.clone(), order.class.clone(), order.purchase);
        if self.rejected_offers.contains(&kind) {
            return Err(CloudError::Refused {
                detail: "no capacity".to_owned(),
                retry_after: Some(Duration::from_secs(1)),
            });
        }
        let offer = self.offers.iter().find(|offer| {
            (offer.zone.as_str(), offer.class.as_str(), offer.purchase)
                == (order.zone.as_str(), order.class.as_str(), order.purchase)
        });
        let host = FakeHost {
            name: HostName::new(format!("h{}", self.hosts.len())),
            order: order.clone(),
            cents_per_hour: offer.map_or(0.0, |offer| offer.cents_per_hour),
            started_at: self.now,
            noticed_at: None,
            ends_at: None,
            engine: EngineStatus::default(),
            running: 0,
            has_failed: false,
        };
        self.hosts.push(host.clone());
        Ok(self.cloud_host(&host))
    }

    pub fn release(&mut self, name: &HostName) {
        let now = self.now;
        if let Some(host) = self.hosts.iter_mut().find(|host| host.name == *name) {
            host.ends_at = host.ends_at.or(Some(now + Duration::from_secs(5)));
        }
    }

    pub fn send_notice(&mut self, index: usize, duration: Duration) {
        let host = &mut self.hosts[index];
        if host.ends_at.is_some() {
            return;
        }
        let deadline = self.now + duration;
        host.noticed_at = Some(self.now);
        host.ends_at = Some(deadline);
        self.notices.push(ReclaimNotice {
            number: self.notices.len() as u64 + 1,
            host: host.name.clone(),
            incarnation: HostIncarnation(1),
            deadline,
        });
    }

    pub fn cloud_hosts(&self) -> Vec<CloudHost> {
        self.hosts
            .iter()
            .map(|host| self.cloud_host(host))
            .collect()
    }

    pub fn listed_hosts(&self) -> Vec<ListedHost> {
        let zones = self.entry_zones.iter();
        let entries = zones.map(|zone| ListedHost {
            name: HostName::new(format!("{zone}-e1")),
            incarnation: HostIncarnation(1),
            role: ListedRole::Entry,
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: zone.clone(),
            class: "small".to_owned(),
            service: String::new(),
            cents_per_hour: 1.0,
            reclaimable: false,
            leaving: false,
        });
        let servers = self.hosts.iter().filter(|h| h.is_listed(self.now));
        let servers = servers.map(|host| ListedHost {
            name: host.name.clone(),
            incarnation: HostIncarnation(1),
            role: ListedRole::Backend,
            address: SocketAddr::from(([127, 0, 0, 1], 2)),
            zone: host.order.zone.clone(),
            class: host.order.class.clone(),
            service: host.order.service.clone(),
            cents_per_hour: host.cents_per_hour,
            reclaimable: host.order.purchase == HostPurchase::Reclaimable,
            leaving: host.ends_at.is_some_and(|end| self.now + LIST_LAG > end),
        });
        entries.chain(servers).collect()
    }

    pub fn read_engine(&self, name: &HostName) -> Result<EngineStatus, EngineError> {
        let host = self.hosts.iter().find(|host| host.name == *name);
        let host = host.filter(|host| host.state(self.now) != HostState::Gone);
        host.map(|host| host.engine.clone())
            .ok_or_else(connection_error)
    }

    pub fn order_engine(
        &mut self,
        name: &HostName,
        order: EngineStatus,
    ) -> Result<EngineStatus, EngineError> {
        let now = self.now;
        let host = self.hosts.iter_mut().find(|host| host.name == *name);
        let host = host.filter(|host| host.state(now) != HostState::Gone);
        let host = host.ok_or_else(connection_error)?;
        let row = self.table.service(&host.order.service);
        let is_fenced = row.is_some_and(|row| row.fenced);
        if is_fenced && order.number < host.engine.number {
            return Err(EngineError::Fenced);
        }
        if host.engine.goal.model != order.goal.model {
            self.model_loads += 1;
        }
        host.engine = order;
        Ok(host.engine.clone())
    }

    pub fn report(&self, name: &HostName) -> Option<ServerReport> {
        let host = self.hosts.iter().find(|host| host.name == *name)?;
        Some(ServerReport {
            running: host.running,
            waiting: 0,
            tokens_per_second: 0.0,
            token_gap_micros: self.token_gap_micros,
            prefill_tokens_per_second: 1.0,
            kv_free: 1.0,
        })
    }

    pub fn reserve(&mut self) -> Result<(), Duration> {
        if self.available_fetches == 0 {
            return Err(Duration::from_secs(2));
        }
        self.available_fetches -= 1;
        self.reservations += 1;
        Ok(())
    }

    /// Returns the hosts of a service that are neither released nor reclaimed.
    pub fn staying(&self, service: &str) -> Vec<&FakeHost> {
        let hosts = self.hosts.iter().filter(|h| h.order.service == service);
        hosts.filter(|host| host.is_staying(self.now)).collect()
    }

    fn cloud_host(&self, host: &FakeHost) -> CloudHost {
        CloudHost {
            name: host.name.clone(),
            state: host.state(self.now),
            order: host.order.clone(),
            cents_per_hour: host.cents_per_hour,
        }
    }
}

fn connection_error() -> EngineError {
    EngineError::Unknown {
        detail: "no connection".to_owned(),
    }
}
