//! Decision state of a host.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_request::retry::{BudgetLimits, RetryBudget, RetryDecision};
use teaselglade_routing::crash::CrashLedger;
use teaselglade_routing::engine::EnginePlacer;
use teaselglade_routing::gossip::{
    PeerMembership, ServiceDemand, TransferLimiter, rendezvous_weight,
};
use teaselglade_routing::limit::{LimitLedger, PermitIssuer};
use teaselglade_routing::plain::PlainPlacer;
use teaselglade_routing::quota::QuotaLimiter;
use teaselglade_routing::registry::{
    ServerAdvice, ServerDeparture, ServerRegistration, ServerRegistry, UpdateScope,
};
use teaselglade_routing::rollout::RolloutDesk;
use teaselglade_routing::scaling::ZoneStock;
use teaselglade_routing::share::ShareLimiter;
use teaselglade_routing::speed::ServerPace;
use teaselglade_routing::usage::UsageLedger;
use teaselglade_routing::zone::ZoneDirector;

use super::news_state::NewsRound;
use super::peer_demand::PeerDemand;
use crate::settings::HostSettings;

/// Number of hosts assumed until peers are seen: a small fleet including its spare hosts.
pub(super) const ASSUMED_HOSTS: u32 = 16;
/// Minimum time without a response that counts as an outage of the store.
const MIN_STORE_OUTAGE: Duration = Duration::from_secs(1);
/// Fraction of a server's rest over which requests of all hosts come back after it.
const RETURN_SPREAD: f64 = 0.25;
/// Longest time over which requests come back after a server's rest.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Age of registration data in digests that prove nothing of it; a year, in effect.
pub(super) const UNKNOWN_AGE: Duration = Duration::from_hours(365 * 24);
/// Age at which a peer's reported demand expires.
const DEMAND_TTL: Duration = Duration::from_secs(3);

/// Decision state of a host: known servers and peers, placement, quotas and usage.
#[derive(Debug)]
pub struct DecisionState {
    /// Known backend servers.
    pub registry: ServerRegistry,
    /// Places streams on engines.
    pub engine_placer: EnginePlacer,
    /// Evidence on requests and prompt parts that end servers.
    pub crash_ledger: CrashLedger,
    /// Places plain calls on servers.
    pub plain_placer: PlainPlacer,
    /// Limits that servers name.
    pub limits: LimitLedger,
    /// Issues permits to send to limited servers.
    pub permit_issuer: PermitIssuer,
    /// Roll-outs of services' versions.
    pub rollouts: RolloutDesk,
    /// Decides which requests leave the data centre.
    pub zones: ZoneDirector,
    /// Enforces the quotas of organisations.
    pub quotas: QuotaLimiter,
    /// Shares organisations' requests of services whose room is scarce.
    pub shares: ShareLimiter,
    /// Counts requests that began to run, for usage reports.
    pub usage: UsageLedger,
    /// Known peers and their liveness.
    pub membership: PeerMembership,
    /// Limits the bandwidth spent on tables for peers.
    pub transfers: TransferLimiter,
    /// Time of the newest registration data; zero until the first full read.
    pub registry_updated_at: Timestamp,
    /// Newest time that peers claimed for their data, also where this host could not take it over.
    peers_updated_at: Timestamp,
    /// Start of the current store outage, as seen by reads of registrations.
    store_lost_at: Option<Timestamp>,
    /// Whether peers did not keep the registration data up to date in that outage either.
    is_outage_shared: bool,
    /// Servers whose advice could not be read.
    unreadable_servers: HashSet<ServerKey>,
    pub(super) own_name: String,
    /// Number of the last round of news.
    pub(super) news_round: u64,
    /// Rounds of peers' news of which parts arrived, by sender.
    pub(super) heard_rounds: HashMap<String, NewsRound>,
    retry_budgets: HashMap<String, RetryBudget>,
    peer_demand: HashMap<String, PeerDemand>,
    seed: u64,
}

impl DecisionState {
    /// Creates the state of a host that knows no servers and no peers.
    ///
    /// `seed` seeds the random choices of placement, gossip and retries.
    #[must_use]
    pub fn new(settings: &HostSettings, seed: u64) -> Self {
        Self {
            registry: ServerRegistry::default().own_addresses([
                settings.listen.callers,
                settings.listen.readiness,
                settings.listen.peers,
            ]),
            engine_placer: EnginePlacer::new(seed),
            crash_ledger: CrashLedger::default(),
            plain_placer: PlainPlacer::new(seed),
            limits: LimitLedger::default(),
            permit_issuer: PermitIssuer::default(),
            rollouts: RolloutDesk::new(&settings.name, settings.rollouts),
            zones: ZoneDirector::new(&settings.zone, settings.zone_prices),
            quotas: QuotaLimiter::new(ASSUMED_HOSTS).random_seed(seed),
            shares: ShareLimiter::new(seed),
            usage: UsageLedger::new(settings.duties.usage_window),
            membership: PeerMembership::new(&settings.name, seed).in_zone(&settings.zone),
            transfers: TransferLimiter::new(settings.link_bytes_per_second),
            registry_updated_at: Timestamp::ZERO,
            peers_updated_at: Timestamp::ZERO,
            store_lost_at: None,
            is_outage_shared: false,
            unreadable_servers: HashSet::new(),
            own_name: settings.name.clone(),
            // Another incarnation of the host begins elsewhere.
            news_round: seed,
            heard_rounds: HashMap::new(),
            retry_budgets: HashMap::new(),
            peer_demand: HashMap::new(),
            seed,
        }
    }

    /// Records a successful read of registrations from the store.
    ///
    /// After an outage, the registry gives vanished registrations a grace period. While peers kept the
    /// data up to date, the store was lost to this host alone, and removals are as final as ever.
    pub fn record_store_response(&mut self, now: Timestamp) {
        let is_shared = std::mem::take(&mut self.is_outage_shared);
        let outage_start = self.store_lost_at.take().filter(|_| is_shared);
        self.membership.set_store_reachable(true);
        if outage_start.is_some_and(|start| now.since(start) >= MIN_STORE_OUTAGE) {
            self.registry.record_store_recovery(now);
        }
        self.registry_updated_at = now;
    }

    /// Records a failed read of registrations from the store.
    pub fn record_store_failure(&mut self, now: Timestamp) {
        self.store_lost_at.get_or_insert(now);
        let are_peers_stale = self.membership.is_stale(now.since(self.peers_updated_at));
        self.is_outage_shared |= self.has_stale_news(now) && are_peers_stale;
        self.membership.set_store_reachable(false);
    }

    /// Merges registration updates and departures from a digest.
    ///
    /// `age` is the age of the peer's registration data when it sent the digest.
    pub fn merge_server_updates(
        &mut self,
        now: Timestamp,
        age: Duration,
        updates: Vec<ServerRegistration>,
        departures: &[ServerDeparture],
    ) {
        for registration in updates {
            self.registry.merge_registration(now, registration);
        }
        self.advance_update_time(now, age);
        for departure in departures {
            self.registry.apply_departure(now, departure);
        }
    }

    /// Applies what a server said of itself and returns what of it is news.
    ///
    /// A departure goes to the peers with the next digests, like one from the store. A rest concerns
    /// this host alone. Requests come back spread over a quarter of the rest, by host and server.
    pub fn apply_advice(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        advice: ServerAdvice,
    ) -> ServerAdvice {
        let mut applied = ServerAdvice::default();
        if advice.is_leaving && self.registry.record_own_departure(now, server) {
            applied = applied.leaving();
        }
        if let Some(rest) = advice.rest_time() {
            let id = &self.registry.server(server).registration.id;
            let weight = rendezvous_weight(&self.own_name, id);
            let spread = rest.mul_f64(RETURN_SPREAD).min(MAX_RETURN_SPREAD);
            let until = now + rest + spread.mul_f64(weight as f64 / u64::MAX as f64);
            self.registry.record_rest(server, until);
            applied = applied.rest(until.since(now));
        }
        if advice.is_unreadable && self.unreadable_servers.insert(server) {
            applied = applied.unreadable();
        }
        applied
    }

    /// Advances the time of the newest registration data to that of a peer's data.
    ///
    /// Has no effect before the first full read, because digests contain only recent updates, nor once
    /// the own data is older than the departures that each digest names.
    fn advance_update_time(&mut self, now: Timestamp, age: Duration) {
        let updated_at = now.before(age);
        self.peers_updated_at = self.peers_updated_at.max(updated_at);
        let repeated = ServerRegistry::departure_repeat(self.membership.is_large());
        if self.registry_updated_at > Timestamp::ZERO && self.update_age(now) < repeated {
            self.registry_updated_at = self.registry_updated_at.max(updated_at);
        }
    }

    /// Records that a peer sent all that it knows of servers, as old as `age`.
    ///
    /// The first full read may come from a peer. Later, a host whose own data is older than the
    /// departures that peers name may have missed one; only the store tells.
    pub fn record_peer_state(&mut self, now: Timestamp, age: Duration) {
        self.peers_updated_at = self.peers_updated_at.max(now.before(age));
        let repeated = ServerRegistry::departure_repeat(false);
        if self.registry_updated_at == Timestamp::ZERO || self.update_age(now) < repeated {
            self.registry_updated_at = now.before(age);
        }
    }

    /// Returns the scope of the registration updates that this host gossips.
    ///
    /// In a large fleet, a host served by an aggregator does not send back the updates that it
    /// received from it: the echoes of all hosts together saturated the aggregators' links.
    #[must_use]
    pub fn update_scope(&self, now: Timestamp) -> UpdateScope {
        let membership = &self.membership;
        if !membership.is_large() || membership.is_aggregator(now) || self.lacks_aggregate(now) {
            UpdateScope::All
        } else {
            UpdateScope::Local
        }
    }

    /// Returns whether this host of a large fleet is not served by any aggregator.
    #[must_use]
    pub fn lacks_aggregate(&self, now: Timestamp) -> bool {
        let membership = &self.membership;
        membership.is_large()
            && !membership.is_aggregator(now)
            && !self.quotas.has_fresh_aggregate(now)
    }

    /// Returns whether neither the store nor peers have updated the registration data in time.
    ///
    /// Whichever part of the chain from the store to this host failed, the host then reads the store
    /// itself. It is false before the first full read.
    #[must_use]
    pub fn has_stale_news(&self, now: Timestamp) -> bool {
        self.registry_updated_at > Timestamp::ZERO && self.membership.is_stale(self.update_age(now))
    }

    /// Returns whether registration data is missing or too old.
    #[must_use]
    pub fn lacks_news(&self, now: Timestamp) -> bool {
        self.registry_updated_at == Timestamp::ZERO || self.has_stale_news(now)
    }

    /// Returns the age of the newest registration data.
    #[must_use]
    pub fn update_age(&self, now: Timestamp) -> Duration {
        now.since(self.registry_updated_at)
    }

    /// Returns the age of registration data that a host may claim after it applied this host's digest.
    ///
    /// A digest that leaves out what this host received from its peers proves nothing of their data,
    /// unless this host reads the store itself.
    #[must_use]
    pub fn shared_update_age(&self, now: Timestamp) -> Duration {
        let is_complete =
            self.update_scope(now) == UpdateScope::All || self.membership.is_store_reader(now);
        if is_complete {
            self.update_age(now)
        } else {
            UNKNOWN_AGE
        }
    }

    /// Returns whether this host can currently reach the store.
    #[must_use]
    pub const fn store_reachable(&self) -> bool {
        self.store_lost_at.is_none()
    }

    /// Credits the first attempt of a request to the retry budget of its service.
    pub fn record_first_attempt(&mut self, service: &str) {
        self.retry_budget(service).record_first_attempt();
    }

    /// Requests one more attempt from the retry budget of the service.
    ///
    /// `retry` is the number of the retry within its request, from 1.
    pub fn request_retry(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        service: &str,
        retry: u32,
    ) -> RetryDecision {
        self.retry_budget(service)
            .request_retry(now, deadline, retry)
    }

    /// Returns whether the retry budget of the service has a retry left.
    pub fn may_retry(&mut self, service: &str) -> bool {
        self.retry_budget(service).has_retry()
    }

    /// Records the prefill demand that a peer reported.
    pub fn record_peer_demand(
        &mut self,
        now: Timestamp,
        peer: &str,
        zone: &str,
        services: Vec<ServiceDemand>,
    ) {
        self.zones.record_zone(now, zone);
        let demand = PeerDemand {
            received_at: now,
            zone: zone.to_owned(),
            services,
        };
        self.peer_demand.insert(peer.to_owned(), demand);
    }

    /// Returns zone, service and prompt tokens per second of what peers reported recently.
    pub(super) fn fresh_peer_demand(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (String, String, f64)> {
        let peers = self.peer_demand.values();
        let fresh = peers.filter(move |demand| now.since(demand.received_at) < DEMAND_TTL);
        fresh.flat_map(|demand| {
            let services = demand.services.iter();
            services.map(|service| {
                let (zone, name) = (demand.zone.clone(), service.service.clone());
                (zone, name, service.tokens_per_second)
            })
        })
    }

    /// Releases the quota share of a peer that is gone and discards its demand.
    pub fn remove_peer(&mut self, peer: &str) {
        self.quotas.remove_peer(peer);
        self.shares.remove_peer(peer);
        self.permit_issuer.remove_peer(peer);
        self.peer_demand.remove(peer);
    }

    /// Returns the number of servers that the fleet's demand for a service occupies.
    ///
    /// It is the larger of the servers whose whole time prefill takes and of those whose slots the
    /// running requests fill; an engine with few slots and a fast prefill is short of slots first.
    pub fn busy_servers(&mut self, now: Timestamp, service: &str, slots: Option<u32>) -> f64 {
        let placer = &self.engine_placer;
        let by_slots = slots.map_or(0.0, |slots| {
            placer.occupied_engines(&self.registry, service, slots)
        });
        self.prefilling_servers(now, service).max(by_slots)
    }

    /// Returns the number of servers whose whole time the fleet's prefill demand takes.
    fn prefilling_servers(&mut self, now: Timestamp, service: &str) -> f64 {
        let own = self.engine_placer.demand(now).into_iter();
        let own = own
            .filter(|(name, _)| name == service)
            .map(|(_, tokens)| tokens);
        let reported = self.fresh_peer_demand(now);
        let reported = reported
            .filter(|(_, name, _)| name == service)
            .map(|(_, _, tokens)| tokens);
        let tokens: f64 = own.chain(reported).sum();
        // Servers are ordered by number, so the demand counts in servers like those at hand.
        let mean_speed = self.engine_placer.mean_speed(&self.registry, service);
        tokens / (self.engine_placer.speed(service).tokens_per_second() * mean_speed)
    }

    /// Returns the number of servers of a service that accept new work, by zone.
    ///
    /// Each zone in `zones` has an entry, even without servers. Servers that rest count: they are paid
    /// for, and others ordered in their place would start after their return.
    #[must_use]
    pub fn zone_capacity(
        &self,
        service: &str,
        zones: &[(String, f64)],
    ) -> BTreeMap<String, ZoneStock> {
        let mut capacity: BTreeMap<String, ZoneStock> = zones
            .iter()
            .map(|(zone, _)| (zone.clone(), ZoneStock::default()))
            .collect();
        for (_, server) in self.registry.of_service(service) {
            let zone = capacity
                .entry(server.registration.zone.clone())
                .or_default();
            if server.registration.reclaimable {
                zone.reclaimable += 1;
            } else {
                zone.regular += 1;
            }
        }
        capacity
    }

    /// Records a server's word on how long work takes there at the moment.
    pub fn record_pace(&mut self, now: Timestamp, server: ServerKey, pace: ServerPace) {
        let engines = self.engine_placer.ledger_mut();
        engines.record_pace(now, server, pace);
        self.plain_placer
            .ledger_mut()
            .record_pace(now, server, pace);
    }

    /// Discards the placement state of a server that is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.engine_placer.forget_server(server);
        self.plain_placer.forget_server(server);
    }

    /// Discards the speeds of servers that take no more work, however they left.
    pub fn prune_speeds(&mut self) {
        let registry = &self.registry;
        let engines = self.engine_placer.ledger_mut();
        engines.retain(|server| registry.takes_work(server));
        let plain = self.plain_placer.ledger_mut();
        plain.retain(|server| registry.takes_work(server));
    }

    fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let seed = self.seed;
        let retry_budgets = &mut self.retry_budgets;
        retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(BudgetLimits::default(), seed))
    }
}
