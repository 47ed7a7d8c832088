//! Roll-outs of all services, as one host sees them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::service_rollout::ServiceRollout;
use super::settled_versions::SettledVersions;
use super::version_scope::VersionChoice;
use super::version_test::TestFinding;
use super::{AttemptEvidence, AttemptRecord};
use super::{OrderReport, RolloutBounds, RolloutOrder, RolloutReport, RolloutStage};
use crate::engine::EngineLoad;
use crate::gossip::rendezvous_weight;
use crate::registry::{RegisteredServer, ServerRegistry};

/// Time after a verdict in which each digest repeats it.
const VERDICT_REPEAT: Duration = Duration::from_secs(10);
/// Longest time in which the servers that a verdict rejects are expected to leave.
const VERDICT_TIME: Duration = Duration::from_secs(30);
/// Number of digests of which one names an order whose verdict is old.
const OLD_VERDICT_DIGESTS: u64 = 10;

/// Change of an order's stage at a host, with the counts that made it.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutChange {
    /// The order.
    pub order: RolloutOrder,
    /// Stage before.
    pub before: RolloutStage,
    /// Stage now.
    pub after: RolloutStage,
    /// Time since the order.
    pub age: Duration,
    /// Answers and failures of the new version, of the hosts that this one heard of.
    pub new: (u32, u32),
    /// What this host found, if it found the version bad itself.
    pub finding: Option<TestFinding>,
}

/// State of an order as the store is to show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The order.
    pub order: RolloutOrder,
    /// The stage; any that is no verdict stands for an order that runs.
    pub stage: RolloutStage,
    /// Time since the stage began.
    pub stage_age: Duration,
    /// Whether a verdict that the store shows for the target is one on this order.
    pub may_adopt: bool,
    /// Whether the stage is a verdict that was found at this host's start and is not confirmed.
    pub is_provisional: bool,
}

/// Roll-outs of all services, as one host sees them.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::rollout::{RolloutDesk, RolloutOrder, VersionChoice};
///
/// let mut desk = RolloutDesk::new("edge-1", None);
/// let now = Timestamp::ZERO;
/// assert_eq!(desk.choose(now, "desk", 1, false), VersionChoice::Any);
/// let order = RolloutOrder { service: "desk".into(), target: "v2".into(), over_ms: 12_000, number: 1 };
/// desk.record_order(now, order.clone(), 4, false);
/// assert_eq!(desk.choose(now, "desk", 1, false), VersionChoice::Without(order.target_hash()));
/// ```
#[derive(Debug, Clone)]
pub struct RolloutDesk {
    own_name: String,
    pub(super) bounds: Option<RolloutBounds>,
    pub(super) rollouts: BTreeMap<String, ServiceRollout>,
    /// Versions that were rolled back, or whose order was replaced before its verdict, by service.
    barred: HashMap<String, Vec<u64>>,
    settled: SettledVersions,
    /// Orders whose verdicts are not read yet, by service.
    held: HashMap<String, RolloutOrder>,
    open: HashMap<ServerKey, u32>,
    logged: HashMap<String, (u64, RolloutStage)>,
}

impl RolloutDesk {
    /// Creates the desk of a host; without `bounds` only orders have an effect.
    #[must_use]
    pub fn new(own_name: impl Into<String>, bounds: Option<RolloutBounds>) -> Self {
        Self {
            own_name: own_name.into(),
            bounds,
            rollouts: BTreeMap::new(),
            barred: HashMap::new(),
            settled: SettledVersions::default(),
            held: HashMap::new(),
            open: HashMap::new(),
            logged: HashMap::new(),
        }
    }

    /// Returns the stage of a service's order, if there was one.
    #[must_use]
    pub fn stage(&self, service: &str) -> Option<RolloutStage> {
        self.rollouts.get(service).map(|rollout| rollout.stage)
    }

    /// Returns whether an order for a service runs.
    #[must_use]
    pub fn is_running(&self, service: &str) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|rollout| !rollout.stage.is_final())
    }

    /// Returns whether servers of two versions of an order are there, or it runs.
    ///
    /// A change of the number of servers could take away those that the verdict keeps.
    #[must_use]
    pub fn has_two_versions(
        &self,
        now: Timestamp,
        registry: &ServerRegistry,
        service: &str,
    ) -> bool {
        let Some(rollout) = self.rollouts.get(service) else {
            return self.held.contains_key(service);
        };
        let target = rollout.order.target_hash();
        let is_target = |server: &RegisteredServer| server.version_hash() == target;
        let servers = || registry.of_service(service);
        let are_both_there = servers().any(|(_, server)| is_target(server))
            && servers().any(|(_, server)| !is_target(server));
        !rollout.stage.is_final() || (are_both_there && now.since(rollout.staged_at) < VERDICT_TIME)
    }

    /// Keeps the target of an order out of use until the order is recorded.
    ///
    /// A host that starts does so while it does not know whether there is a verdict on the order.
    /// Returns `false` if an order for the service is known already.
    pub fn hold_order(&mut self, order: RolloutOrder) -> bool {
        if self.rollouts.contains_key(&order.service) {
            return false;
        }
        self.held.insert(order.service.clone(), order);
        true
    }

    /// Records an order of the operators; one that is older than the known one is passed over.
    ///
    /// `hosts` is the size of the fleet; `is_listed` tells whether this host found the order in the
    /// store when it started. Returns whether the order is new.
    pub fn record_order(
        &mut self,
        now: Timestamp,
        order: RolloutOrder,
        hosts: usize,
        is_listed: bool,
    ) -> bool {
        let mut may_adopt = true;
        if let Some(known) = self.rollouts.get_mut(&order.service) {
            if known.order.is_same(&order) {
                known.order.number = known.order.number.max(order.number);
                return false;
            }
            if known.order.number > order.number {
                return false;
            }
            // A verdict on the same target may be that of the replaced order.
            may_adopt = is_listed || known.order.target != order.target;
            if known.stage != RolloutStage::Completed {
                let barred = self.barred.entry(order.service.clone()).or_default();
                barred.push(known.order.target_hash());
                barred.dedup();
            }
        }
        let target = order.target_hash();
        if let Some(barred) = self.barred.get_mut(&order.service) {
            barred.retain(|version| *version != target);
        }
        self.settled.remove(&order.service, target);
        let slack = self.own_slack(&order, hosts);
        let rollout = ServiceRollout::new(now, order.clone(), slack, may_adopt);
        self.held.remove(&order.service);
        self.rollouts.insert(order.service, rollout);
        true
    }

    /// Reads the servers of orders for which none were found yet.
    ///
    /// Until then an order for the version in service leaves no server to use.
    pub fn read_servers(&mut self, now: Timestamp, registry: &ServerRegistry) {
        let bounds = self.bounds.unwrap_or_default();
        let rollouts = self.rollouts.values_mut();
        for rollout in rollouts.filter(|rollout| rollout.is_without_servers()) {
            rollout.update(now, registry, bounds);
        }
    }

    /// Returns this host's part of the slack, which differs from host to host.
    ///
    /// Below one request: hosts with little traffic then do not all send their first request to the
    /// new version at the same time.
    fn own_slack(&self, order: &RolloutOrder, hosts: usize) -> f64 {
        let slack = self.bounds.unwrap_or_default().exposure_slack;
        let part = (slack / hosts.max(1) as f64).min(1.0);
        let weight = rendezvous_weight(&self.own_name, &format!("{}", order.number));
        part * (weight as f64 / u64::MAX as f64)
    }

    /// Records a verdict that the store shows, which stands whatever this host found.
    pub fn record_verdict(
        &mut self,
        now: Timestamp,
        service: &str,
        number: u64,
        stage: RolloutStage,
    ) {
        let rollout = self.rollouts.get_mut(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.number == number) {
            rollout.check_listed(now, stage);
            rollout.adopt(now, stage);
        }
    }

    /// Records a verdict that the store shows for an order's target when this host starts.
    ///
    /// It may be that of an earlier order for the same target: this host acts on it, but tells it to
    /// no other until one confirms it, and drops it if one tells that the order runs.
    pub fn record_listed_verdict(
        &mut self,
        now: Timestamp,
        service: &str,
        number: u64,
        stage: RolloutStage,
    ) {
        let rollout = self.rollouts.get_mut(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.number == number) {
            rollout.adopt_listed(now, stage);
        }
    }

    /// Drops a verdict that the store showed at this host's start, as the order runs by it now.
    pub fn drop_listed_verdict(&mut self, now: Timestamp, service: &str) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.check_listed(now, RolloutStage::Trial);
        }
    }

    /// Returns the versions that an attempt may use; credit for a trial is taken.
    ///
    /// `route` is the hash of the route's name. An attempt after a failure, beside another one, or of
    /// a request that may end servers is a repeat, and does not go on trial.
    pub fn choose(
        &mut self,
        now: Timestamp,
        service: &str,
        route: u64,
        is_repeat: bool,
    ) -> VersionChoice {
        let mut rollout = self.rollouts.remove(service);
        let choice = self.choose_with(rollout.as_mut(), now, service, route, is_repeat);
        if let Some(rollout) = rollout {
            self.rollouts.insert(service.to_owned(), rollout);
        }
        choice
    }

    /// Returns the versions that an attempt may use, by the state of its service's roll-out.
    fn choose_with(
        &self,
        rollout: Option<&mut ServiceRollout>,
        now: Timestamp,
        service: &str,
        route: u64,
        is_repeat: bool,
    ) -> VersionChoice {
        if let Some(held) = self.held.get(service).filter(|_| rollout.is_none()) {
            return VersionChoice::Held(held.target_hash());
        }
        let bounds = self.bounds.unwrap_or_default();
        let settled = self.settled.of_service(service).map(Arc::clone);
        let barred = self.barred.get(service).map_or(&[][..], Vec::as_slice);
        // Later versions need no order once the old servers have stopped.
        let running = rollout
            .filter(|rollout| !rollout.is_settled || now.since(rollout.staged_at) <= VERDICT_TIME);
        let Some(rollout) = running else {
            return settled.map_or(VersionChoice::Any, |settled| {
                VersionChoice::Settled(settled, barred.into())
            });
        };
        let target = rollout.order.target_hash();
        let excluded = || {
            let others = barred.iter().filter(|version| **version != target);
            others.copied().chain([target]).collect()
        };
        // Neither a later version nor one of an earlier order takes what the target does not get.
        let old = match settled {
            Some(settled) => VersionChoice::Settled(settled, excluded()),
            None if barred.iter().all(|version| *version == target) => {
                VersionChoice::Without(target)
            }
            None => VersionChoice::WithoutAll(excluded()),
        };
        rollout.choose(now, bounds, route, is_repeat, old)
    }

    /// Gives back the credit of an attempt that was not placed on trial.
    pub fn give_back(&mut self, service: &str, route: u64) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.give_back(route);
        }
    }

    /// Records an attempt that is sent to a server.
    ///
    /// Returns `None` if nothing of it counts, because no roll-out can run here.
    pub fn record_sent(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        server: ServerKey,
        route: u64,
        is_first: bool,
    ) -> Option<AttemptRecord> {
        if self.bounds.is_none() && self.rollouts.is_empty() {
            return None;
        }
        *self.open.entry(server).or_default() += 1;
        let registered = registry.server(server);
        let service = registered.registration.service.as_str();
        let rollout = self.rollouts.get(service);
        Some(AttemptRecord {
            server,
            incarnation: registered.incarnation_hash(),
            version: registered.version_hash(),
            service: service.into(),
            route,
            is_first,
            is_timed: rollout.is_some_and(|rollout| rollout.is_timed(now)),
            is_answered: false,
        })
    }

    /// Records how an attempt went; a stream is answered with its first event and may break later.
    pub fn record_result(&mut self, record: &mut AttemptRecord, result: AttemptEvidence) {
        if record.is_answered && result != AttemptEvidence::Broken {
            return;
        }
        record.is_answered = true;
        if let Some(rollout) = self.rollouts.get_mut(&*record.service) {
            rollout.record_result(record, result);
        }
    }

    /// Records that an attempt is no longer open at its server.
    pub fn record_closed(&mut self, record: &AttemptRecord) {
        if let Some(open) = self.open.get_mut(&record.server) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&record.server);
            }
        }
    }

    /// Reads the loads of engines, which tell how many servers carry a part of the traffic.
    pub fn record_loads(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        loads: &[EngineLoad],
    ) {
        for rollout in self.rollouts.values_mut() {
            rollout.record_loads(now, registry, loads);
        }
    }

    /// Returns whether an order of any service runs.
    #[must_use]
    pub fn has_running(&self) -> bool {
        let mut rollouts = self.rollouts.values();
        rollouts.any(|rollout| !rollout.stage.is_final())
    }

    /// Reads the versions of servers, tests the evidence, and returns the changes since the last call.
    pub fn update(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        services: &[&str],
    ) -> Vec<RolloutChange> {
        let bounds = self.bounds.unwrap_or_default();
        for rollout in self.rollouts.values_mut() {
            let (service, target) = (rollout.order.service.clone(), rollout.order.target_hash());
            let open = self.open.iter().filter(|(server, _)| {
                let server = registry.server(**server);
                server.registration.service == service && server.version_hash() != target
            });
            rollout.open_at_old = open.map(|(_, count)| *count).sum();
            rollout.update(now, registry, bounds);
            if rollout.listed.is_provisional {
                continue;
            }
            if rollout.stage == RolloutStage::RolledBack {
                let barred = self.barred.entry(service).or_default();
                if !barred.contains(&target) {
                    barred.push(target);
                }
            } else if rollout.stage == RolloutStage::Completed && !rollout.is_settled {
                rollout.is_settled = true;
                self.settled.settle(registry, &service, target);
                if let Some(barred) = self.barred.get_mut(&service) {
                    barred.retain(|version| *version != target);
                }
            }
        }
        for service in services.iter().copied() {
            let rollout = self.rollouts.get(service);
            if self.bounds.is_some() || rollout.is_some_and(|rollout| rollout.is_settled) {
                let mut barred = self.barred.get(service).cloned().unwrap_or_default();
                if let Some(running) = rollout.filter(|rollout| !rollout.stage.is_final()) {
                    barred.push(running.order.target_hash());
                }
                self.settled.update(now, registry, service, &barred);
            }
        }
        self.take_changes(now)
    }

    fn take_changes(&mut self, now: Timestamp) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        for rollout in self.rollouts.values() {
            let order = &rollout.order;
            let current = (order.number, rollout.stage);
            let before = self.logged.insert(order.service.clone(), current);
            if before == Some(current) {
                continue;
            }
            let evidence = rollout.evidence();
            let known = before.filter(|(number, _)| *number == order.number);
            changes.push(RolloutChange {
                order: order.clone(),
                before: known.map_or(RolloutStage::Trial, |(_, stage)| stage),
                after: rollout.stage,
                age: now.since(rollout.ordered_at),
                new: (evidence.new_answers(), evidence.new_failures()),
                finding: rollout.finding,
            });
        }
        changes
    }

    /// Moves the orders on, as the leader; returns what the store is to show.
    pub fn lead(&mut self, now: Timestamp, peer_count: usize) -> Vec<RolloutStatus> {
        let rollouts = self.rollouts.values_mut();
        let statuses = rollouts.map(|rollout| {
            let is_complete = rollout.lead(now, peer_count);
            RolloutStatus {
                order: rollout.order.clone(),
                stage: if is_complete {
                    RolloutStage::Completed
                } else {
                    rollout.stage
                },
                stage_age: now.since(rollout.staged_at),
                may_adopt: rollout.may_adopt,
                is_provisional: rollout.listed.is_provisional,
            }
        });
        statuses.collect()
    }

    /// Returns what this host tells its peers with its digest of this number.
    #[must_use]
    pub fn report(&self, now: Timestamp, started_at_us: u64, digest_number: u64) -> RolloutReport {
        RolloutReport {
            host: self.own_name.clone(),
            started_at_us,
            orders: self.order_reports(now, digest_number, true),
        }
    }

    /// Returns what an aggregator tells the hosts that it serves.
    #[must_use]
    pub fn aggregate(&self, now: Timestamp, aggregate_number: u64) -> RolloutReport {
        RolloutReport {
            host: String::new(),
            started_at_us: 0,
            orders: self.order_reports(now, aggregate_number, false),
        }
    }

    fn order_reports(&self, now: Timestamp, number: u64, has_evidence: bool) -> Vec<OrderReport> {
        let rollouts = self.rollouts.values();
        let rollouts = rollouts.filter(|rollout| !rollout.listed.is_provisional);
        let rollouts = rollouts.filter(|rollout| {
            !rollout.stage.is_final()
                || now.since(rollout.staged_at) < VERDICT_REPEAT
                || number.is_multiple_of(OLD_VERDICT_DIGESTS)
        });
        let reports = rollouts.map(|rollout| {
            let has_evidence = has_evidence && !rollout.stage.is_final();
            rollout.report(now, has_evidence)
        });
        reports.collect()
    }

    /// Merges what a peer or an aggregator says; `hosts` is the size of the fleet.
    pub fn merge(&mut self, now: Timestamp, report: RolloutReport, hosts: usize) {
        for order in report.orders {
            self.record_order(now, order.order.clone(), hosts, false);
            let rollout = self.rollouts.get_mut(&order.order.service);
            if let Some(rollout) = rollout.filter(|rollout| rollout.order.is_same(&order.order)) {
                rollout.merge(now, &report.host, report.started_at_us, order);
            }
        }
    }

    /// Returns the suspicion against the target of each order, as a share of a verdict.
    pub fn suspicions(&self) -> impl Iterator<Item = (&str, RolloutStage, f64, (u64, u64))> {
        self.rollouts.iter().map(|(service, rollout)| {
            (
                service.as_str(),
                rollout.stage,
                rollout.suspicion(),
                rollout.exposure(),
            )
        })
    }

    /// Returns what [`RolloutDesk::choose`] would decide for a first attempt, without using credit.
    ///
    /// Only the state of the service is copied.
    #[must_use]
    pub fn preview(&self, now: Timestamp, service: &str, route: u64) -> VersionChoice {
        let mut rollout = self.rollouts.get(service).cloned();
        self.choose_with(rollout.as_mut(), now, service, route, false)
    }
}
