//! Hosts that the cloud API runs and its reclaim notices.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use teaselglade_core::port::ClockPort;
use teaselglade_net::clock::SystemClock;
use teaselglade_wire::{CloudEntry, CloudNotice, CloudOrder, CloudState, PurchaseKind};
use tokio::time::sleep;

/// Starts and stops the backend servers of hosts.
pub trait HostStarter: Debug + Send + Sync {
    /// Starts the server of the host `name`.
    fn start(&self, name: &str, order: &CloudOrder);

    /// Marks a host as leaving in the host list.
    fn announce(&self, name: &str);

    /// Stops a host's server at once and removes it from the host list.
    fn stop(&self, name: &str);
}

#[derive(Debug, Default)]
struct RegistryState {
    hosts: BTreeMap<String, CloudEntry>,
    notices: Vec<CloudNotice>,
    started_hosts: u64,
}

/// Hosts that the cloud API runs and its reclaim notices.
#[derive(Debug)]
pub struct CloudRegistry {
    clock: SystemClock,
    starter: Arc<dyn HostStarter>,
    start_time: Duration,
    state: Mutex<RegistryState>,
}

impl CloudRegistry {
    /// Creates an empty registry whose hosts take `start_time` to start.
    #[must_use]
    pub fn new(starter: Arc<dyn HostStarter>, start_time: Duration) -> Arc<Self> {
        let clock = SystemClock::start();
        Arc::new(Self {
            clock,
            starter,
            start_time,
            state: Mutex::default(),
        })
    }

    /// Adds a host that is already running.
    pub fn add_running(&self, name: &str, order: CloudOrder, cents_per_hour: f64) {
        let state = CloudState::Running;
        let entry = CloudEntry {
            name: name.to_owned(),
            state,
            order,
            cents_per_hour,
        };
        self.lock().hosts.insert(name.to_owned(), entry);
    }

    /// Starts a host and returns its entry.
    ///
    /// An order with a known idempotency token returns the existing host instead.
    pub fn order_host(self: &Arc<Self>, order: CloudOrder) -> CloudEntry {
        let mut state = self.lock();
        let existing = state
            .hosts
            .values()
            .find(|host| host.order.token == order.token);
        if let Some(existing) = existing {
            return existing.clone();
        }
        state.started_hosts += 1;
        let name = format!("{}-{}-{}", order.zone, order.service, state.started_hosts);
        let cents_per_hour = cents_per_hour(&order);
        let starting = CloudState::Starting;
        let entry = CloudEntry {
            name: name.clone(),
            state: starting,
            order,
            cents_per_hour,
        };
        state.hosts.insert(name.clone(), entry.clone());
        drop(state);
        tokio::spawn(Arc::clone(self).finish_start(name));
        entry
    }

    /// Releases a host and stops its server at once.
    pub fn release(&self, name: &str) {
        self.set_state(name, CloudState::Gone);
        self.starter.stop(name);
    }

    /// Returns all hosts.
    #[must_use]
    pub fn hosts(&self) -> Vec<CloudEntry> {
        self.lock().hosts.values().cloned().collect()
    }

    /// Returns the reclaim notices with a number above `after`.
    #[must_use]
    pub fn notices(&self, after: u64) -> Vec<CloudNotice> {
        let state = self.lock();
        state
            .notices
            .iter()
            .filter(|notice| notice.number > after)
            .cloned()
            .collect()
    }

    /// Reclaims all running reclaimable hosts of a data centre and returns their count.
    ///
    /// The hosts stop once `notice` has passed.
    pub fn reclaim_zone(self: &Arc<Self>, zone: &str, notice: Duration) -> usize {
        let is_reclaimed = |host: &&CloudEntry| {
            host.order.zone == zone
                && host.order.purchase == PurchaseKind::Reclaimable
                && host.state == CloudState::Running
        };
        let state = self.lock();
        let names = state
            .hosts
            .values()
            .filter(is_reclaimed)
            .map(|host| host.name.clone());
        let names = names.collect::<Vec<_>>();
        drop(state);
        for name in &names {
            self.reclaim(name, notice);
        }
        names.len()
    }

    /// Publishes a reclaim notice and releases the host after `notice`.
    pub fn reclaim(self: &Arc<Self>, name: &str, notice: Duration) {
        let deadline = self.clock.now() + notice;
        let mut state = self.lock();
        let number = state.notices.len() as u64 + 1;
        let deadline_ms = deadline.as_millis();
        state.notices.push(CloudNotice {
            number,
            host: name.to_owned(),
            incarnation: 1,
            deadline_ms,
        });
        drop(state);
        self.set_state(name, CloudState::Leaving);
        self.starter.announce(name);
        let registry = Arc::clone(self);
        let name = name.to_owned();
        tokio::spawn(async move {
            sleep(notice).await;
            registry.release(&name);
        });
    }

    async fn finish_start(self: Arc<Self>, name: String) {
        sleep(self.start_time).await;
        let order = self.lock().hosts.get(&name).map(|host| host.order.clone());
        if let Some(order) = order {
            self.set_state(&name, CloudState::Running);
            self.starter.start(&name, &order);
        }
    }

    fn set_state(&self, name: &str, host_state: CloudState) {
        if let Some(host) = self.lock().hosts.get_mut(name) {
            host.state = host_state;
        }
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn cents_per_hour(order: &CloudOrder) -> f64 {
    let base = crate::fleet::class_cents_per_hour(&order.class);
    match order.purchase {
        PurchaseKind::Reclaimable => base,
        PurchaseKind::OnDemand => base * crate::fleet::ON_DEMAND_FACTOR,
    }
}
