//! The decision machines of a host.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_request::retry::{BudgetLimits, RetryBudget, RetryDecision};
use teaselglade_routing::engine::EnginePlacer;
use teaselglade_routing::gossip::{PeerMembership, ServiceDemand};
use teaselglade_routing::plain::PlainPlacer;
use teaselglade_routing::quota::QuotaLimiter;
use teaselglade_routing::registry::{
    ServerDeparture, ServerRegistration, ServerRegistry, UpdateScope,
};
use teaselglade_routing::scaling::ZoneCapacity;
use teaselglade_routing::usage::UsageLedger;

use crate::settings::HostSettings;

/// Hosts that are reckoned with until peers are heard; a small fleet with its spare hosts.
const ASSUMED_HOSTS: u32 = 16;
/// Time without an answer after which the store counts as having been away.
const AWAY_SPAN: Duration = Duration::from_secs(1);
/// Age from which a peer's demand no longer counts.
const DEMAND_SPAN: Duration = Duration::from_secs(3);

/// The decision machines of a host.
#[derive(Debug)]
pub struct Decisions {
    /// Backend servers.
    pub fleet: ServerRegistry,
    /// Placement of streams.
    pub engines: EnginePlacer,
    /// Placement of plain calls.
    pub plains: PlainPlacer,
    /// Quotas of organisations.
    pub quotas: QuotaLimiter,
    /// Requests that began to run.
    pub usage: UsageLedger,
    /// Other hosts.
    pub roster: PeerMembership,
    /// Time of the latest news of servers.
    pub news_at: Timestamp,
    /// Since when the store has not answered this host about servers.
    store_lost_at: Option<Timestamp>,
    budgets: HashMap<String, RetryBudget>,
    peer_demand: HashMap<String, (Timestamp, Vec<ServiceDemand>)>,
    seed: u64,
}

impl Decisions {
    /// Makes the machines of a host that knows nothing yet.
    #[must_use]
    pub fn new(settings: &HostSettings, seed: u64) -> Self {
        Self {
            fleet: ServerRegistry::default(),
            engines: EnginePlacer::new(seed),
            plains: PlainPlacer::new(seed),
            quotas: QuotaLimiter::new(ASSUMED_HOSTS),
            usage: UsageLedger::new(settings.duties.usage_window),
            roster: PeerMembership::new(&settings.name, seed),
            news_at: Timestamp::ZERO,
            store_lost_at: None,
            budgets: HashMap::new(),
            peer_demand: HashMap::new(),
            seed,
        }
    }

    /// Notes that the store answered about servers.
    pub fn note_store_answer(&mut self, now: Timestamp) {
        let lost_at = self.store_lost_at.take();
        self.roster.set_store_reachable(true);
        if lost_at.is_some_and(|lost| now.since(lost) >= AWAY_SPAN) {
            self.fleet.record_store_recovery(now);
        }
        self.news_at = now;
    }

    /// Notes that the store did not answer about servers.
    pub fn note_store_failure(&mut self, now: Timestamp) {
        self.store_lost_at.get_or_insert(now);
        self.roster.set_store_reachable(false);
    }

    /// Takes in what a peer tells of servers; the news were this old when it told them.
    pub fn hear_servers(
        &mut self,
        now: Timestamp,
        age: Duration,
        news: Vec<ServerRegistration>,
        departures: &[ServerDeparture],
    ) {
        for sheet in news {
            self.fleet.merge_registration(now, sheet);
        }
        self.note_news(now, age);
        for departure in departures {
            self.fleet.apply_departure(now, departure);
        }
    }

    /// Notes news of servers that were this old when a peer passed them on.
    fn note_news(&mut self, now: Timestamp, age: Duration) {
        let told = now.before(age);
        if self.news_at > Timestamp::ZERO {
            self.news_at = self.news_at.max(told);
        }
    }

    /// Returns whose news of servers this host tells.
    ///
    /// In a large fleet a host that hears a collecting host does not tell back what that told:
    /// the echoes of all hosts together filled the collecting hosts' links.
    #[must_use]
    pub fn news_scope(&self, now: Timestamp) -> UpdateScope {
        let roster = &self.roster;
        if !roster.is_large() || roster.is_aggregator(now) || self.is_unserved(now) {
            UpdateScope::All
        } else {
            UpdateScope::Local
        }
    }

    /// Returns whether this is a host of a large fleet that no collecting host tells anything.
    #[must_use]
    pub fn is_unserved(&self, now: Timestamp) -> bool {
        let roster = &self.roster;
        roster.is_large() && !roster.is_aggregator(now) && !self.quotas.has_fresh_aggregate(now)
    }

    /// Returns whether the store answers this host at present.
    #[must_use]
    pub const fn reads_store(&self) -> bool {
        self.store_lost_at.is_none()
    }

    /// Counts the first attempt of a request towards its service's retry budget.
    pub fn record_first(&mut self, service: &str) {
        self.budget(service).record_first_attempt();
    }

    /// Asks the service's retry budget for one more attempt.
    pub fn ask_retry(
        &mut self,
        now: Timestamp,
        due: Timestamp,
        service: &str,
        retry: u32,
    ) -> RetryDecision {
        self.budget(service).request_retry(now, due, retry)
    }

    /// Takes in a peer's demand.
    pub fn hear_demand(&mut self, now: Timestamp, peer: &str, demand: Vec<ServiceDemand>) {
        self.peer_demand.insert(peer.to_owned(), (now, demand));
    }

    /// Frees all that a host that is gone was reckoned with.
    pub fn forget_peer(&mut self, peer: &str) {
        self.quotas.remove_peer(peer);
        self.peer_demand.remove(peer);
    }

    /// Returns how many servers of a service the fleet's demand keeps busy with reading.
    pub fn busy_servers(&mut self, now: Timestamp, service: &str) -> f64 {
        let own = self.engines.demand(now).into_iter();
        let own = own
            .filter(|(name, _)| name == service)
            .map(|(_, tokens)| tokens);
        let fresh = self
            .peer_demand
            .values()
            .filter(|(heard, _)| now.since(*heard) < DEMAND_SPAN);
        let heard = fresh
            .flat_map(|(_, demand)| demand)
            .filter(|demand| demand.service == service)
            .map(|demand| demand.tokens_per_second);
        let tokens: f64 = own.chain(heard).sum();
        tokens / self.engines.speed(service).tokens_per_second()
    }

    /// Returns the servers of a service that take work, by zone.
    #[must_use]
    pub fn stock(&self, service: &str, zones: &[(String, f64)]) -> BTreeMap<String, ZoneCapacity> {
        let mut stock: BTreeMap<String, ZoneCapacity> = zones
            .iter()
            .map(|(zone, _)| (zone.clone(), ZoneCapacity::default()))
            .collect();
        for (_, server) in self.fleet.of_service(service) {
            let zone = stock.entry(server.registration.zone.clone()).or_default();
            if server.registration.reclaimable {
                zone.reclaimable += 1;
            } else {
                zone.regular += 1;
            }
        }
        stock
    }

    /// Forgets what was learned of a server that is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.engines.forget_server(server);
        self.plains.forget_server(server);
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let seed = self.seed;
        let budgets = &mut self.budgets;
        budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(BudgetLimits::default(), seed))
    }
}
