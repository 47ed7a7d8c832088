//! Cloud API, host list, engines and weight store of a test, on virtual time.

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
    pub cents: f64,
    pub started: Timestamp,
    /// Time at which a notice was sent.
    pub noticed: Option<Timestamp>,
    /// Time at which the host ends.
    pub ends: Option<Timestamp>,
    pub engine: EngineStatus,
    pub running: u32,
    /// Whether the host died without the cloud API's knowledge.
    pub dead: bool,
}

impl FakeHost {
    fn state(&self, now: Timestamp) -> HostState {
        match self.ends {
            Some(end) if now >= end => HostState::Gone,
            Some(_) => HostState::Leaving,
            None if now < self.started + START_TIME => HostState::Starting,
            None => HostState::Running,
        }
    }

    /// Returns whether the host is up and got no notice.
    pub fn stays(&self, now: Timestamp) -> bool {
        matches!(self.state(now), HostState::Starting | HostState::Running)
    }

    fn is_listed(&self, now: Timestamp) -> bool {
        let shown = now >= self.started + START_TIME + LIST_LAG;
        shown && !self.dead && self.ends.is_none_or(|end| now < end + LIST_LAG)
    }
}

#[derive(Debug, Default)]
pub struct Platform {
    pub now: Timestamp,
    pub table: RoutingTable,
    pub offers: Vec<HostOffer>,
    pub entry_zones: BTreeSet<String>,
    pub hosts: Vec<FakeHost>,
    pub refused: BTreeSet<OfferKind>,
    pub notices: Vec<ReclaimNotice>,
    /// Fetches that the weight store still grants, and how fast it grants more.
    pub fetches: u32,
    pub reservations: u32,
    /// Time between two tokens in load reports.
    pub token_gap_micros: u64,
    pub loads: u32,
}

impl Platform {
    pub fn order(&mut self, order: &HostOrder) -> Result<CloudHost, CloudError> {
        let known = self.hosts.iter().find(|h| h.order.token == order.token);
        if let Some(host) = known {
            return Ok(self.cloud_host(host));
        }
        let kind = (order.zone.clone(), order.class.clone(), order.purchase);
        if self.refused.contains(&kind) {
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
            cents: offer.map_or(0.0, |offer| offer.cents_per_hour),
            started: self.now,
            noticed: None,
            ends: None,
            engine: EngineStatus::default(),
            running: 0,
            dead: false,
        };
        self.hosts.push(host.clone());
        Ok(self.cloud_host(&host))
    }

    pub fn release(&mut self, name: &HostName) {
        let now = self.now;
        if let Some(host) = self.hosts.iter_mut().find(|host| host.name == *name) {
            host.ends = host.ends.or(Some(now + Duration::from_secs(5)));
        }
    }

    pub fn notice(&mut self, index: usize, span: Duration) {
        let host = &mut self.hosts[index];
        if host.ends.is_some() {
            return;
        }
        let deadline = self.now + span;
        host.noticed = Some(self.now);
        host.ends = Some(deadline);
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
            cents_per_hour: host.cents,
            reclaimable: host.order.purchase == HostPurchase::Reclaimable,
            leaving: host.ends.is_some_and(|end| self.now + LIST_LAG > end),
        });
        entries.chain(servers).collect()
    }

    pub fn read_engine(&self, name: &HostName) -> Result<EngineStatus, EngineError> {
        let host = self.hosts.iter().find(|host| host.name == *name);
        let host = host.filter(|host| host.state(self.now) != HostState::Gone);
        host.map(|host| host.engine.clone()).ok_or_else(unreached)
    }

    pub fn order_engine(
        &mut self,
        name: &HostName,
        order: EngineStatus,
    ) -> Result<EngineStatus, EngineError> {
        let now = self.now;
        let host = self.hosts.iter_mut().find(|host| host.name == *name);
        let host = host.filter(|host| host.state(now) != HostState::Gone);
        let host = host.ok_or_else(unreached)?;
        let row = self.table.service(&host.order.service);
        let is_fenced = row.is_some_and(|row| row.fenced);
        if is_fenced && order.number < host.engine.number {
            return Err(EngineError::Fenced);
        }
        if host.engine.goal.model != order.goal.model {
            self.loads += 1;
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
        if self.fetches == 0 {
            return Err(Duration::from_secs(2));
        }
        self.fetches -= 1;
        self.reservations += 1;
        Ok(())
    }

    /// Returns the hosts of a service that are up and got no notice.
    pub fn staying(&self, service: &str) -> Vec<&FakeHost> {
        let hosts = self.hosts.iter().filter(|h| h.order.service == service);
        hosts.filter(|host| host.stays(self.now)).collect()
    }

    fn cloud_host(&self, host: &FakeHost) -> CloudHost {
        CloudHost {
            name: host.name.clone(),
            state: host.state(self.now),
            order: host.order.clone(),
            cents_per_hour: host.cents,
        }
    }
}

fn unreached() -> EngineError {
    EngineError::Unknown {
        detail: "no connection".to_owned(),
    }
}
