//! Roll-out of one service, as one host sees it.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::exposure_credit::ExposureCredit;
use super::listed_verdict::ListedVerdict;
use super::old_servers::OldServers;
use super::peer_view::{PeerView, REPORT_TTL};
use super::version_evidence::{UNLISTED_SERVERS, VersionEvidence};
use super::version_load::VersionLoad;
use super::version_scope::VersionChoice;
use super::version_test::{END_WAIT, TestFinding, VersionTest};
use super::{
    AttemptEvidence, AttemptRecord, OrderReport, RolloutBounds, RolloutOrder, RolloutStage,
};
use crate::engine::preference_of;
use crate::registry::ServerRegistry;

/// Share of the permitted exposure that the trial uses.
pub(super) const TRIAL_PART: f64 = 0.5;
/// The same at the end of the time in which the new servers are also tried under load.
pub(super) const PROBE_PART: f64 = 0.75;
/// Part of an order's time from which fewer servers carry more of the trial, for its load.
pub(super) const PROBE_FROM: f64 = 0.4;
/// Part of an order's time from which a version without objections gets a quarter of the traffic.
pub(super) const QUARTER_FROM: f64 = 0.55;
/// The same for half of the traffic.
const HALF_FROM: f64 = 0.61;
/// The same for all of the traffic.
const WHOLE_FROM: f64 = 0.66;
/// Part up to which a server that fails by itself holds the order up, as others may follow.
const HOLD_UNTIL: f64 = 0.69;
/// Part of an order's time after which silent hosts are not waited for.
const CLOSE_AT: f64 = 0.9;
/// Least number of servers on trial, as one server must not stand for its version.
const MIN_TRIAL_SERVERS: usize = 2;
/// Answers of the new version that are enough to go on, on each route and on all.
const MIN_ROUTE_ANSWERS: u32 = 5;
const MIN_ANSWERS: u32 = 20;
/// Share of the old version's answers that is enough where there is little traffic.
const MIN_ANSWER_SHARE: f64 = 0.02;
/// Share of a bad score up to which a version gets more traffic.
const MAX_SUSPICION: f64 = 0.35;
/// Share of the known peers whose reports are needed to go on.
const MIN_HEARD_SHARE: f64 = 0.75;
/// Servers of the new version whose attempts are counted by server, so that reports are bounded;
/// those at all others are counted together.
const MAX_TALLIED_SERVERS: usize = 64;
/// Time without a server of another version after which the old version counts as gone,
/// unless this host saw its servers leave.
///
/// News of registrations reach a host within it; a starting leader may know only a part.
const GONE_TIME: Duration = Duration::from_secs(2);

/// Roll-out of one service, as one host sees it.
#[derive(Debug, Clone)]
pub(super) struct ServiceRollout {
    pub(super) order: RolloutOrder,
    /// Time of the order, as far as this host knows.
    pub(super) ordered_at: Timestamp,
    pub(super) stage: RolloutStage,
    pub(super) staged_at: Timestamp,
    /// Whether a verdict that the store shows for the target is one on this order.
    pub(super) may_adopt: bool,
    pub(super) listed: ListedVerdict,
    pub(super) finding: Option<TestFinding>,
    pub(super) open_at_old: u32,
    pub(super) target: u64,
    pub(super) credit: ExposureCredit,
    route_exposed: HashMap<u64, u64>,
    ramp: f64,
    /// Time of the last report of another host, or at which this host led.
    pub(super) heard_at: Timestamp,
    pub(super) own: VersionEvidence,
    pub(super) peers: HashMap<String, PeerView>,
    /// Evidence of earlier incarnations of peers.
    earlier: VersionEvidence,
    pub(super) test: VersionTest,
    /// Incarnations that failed by themselves, here or as other hosts tell; others take their place.
    failing: BTreeSet<u64>,
    pub(super) trial: Arc<[ServerKey]>,
    /// Incarnation hashes of the servers whose attempts are counted by server, the same on all hosts.
    tallied: HashSet<u64>,
    /// Attempts that unlisted servers broke off, with the time of the first one, by server.
    breaks: HashMap<u64, (Timestamp, u32)>,
    /// Time of the last check.
    checked_at: Timestamp,
    /// Servers that carry the traffic of the stage, so that each has its usual load.
    part: Arc<[ServerKey]>,
    /// Load of the old servers until the trial under load.
    pub(super) load: VersionLoad,
    /// Open requests of all hosts at the new servers, where known.
    pub(super) open_at_new: f64,
    /// Mean number of slots of the new servers.
    pub(super) new_slots: f64,
    pub(super) old_servers: usize,
    pub(super) new_servers: usize,
    old_state: OldServers,
    /// Last servers of other versions that this host knew, and their incarnation hashes.
    last_old: Vec<(ServerKey, u64)>,
    /// Time from which servers of the target are known and no others.
    old_gone_at: Option<Timestamp>,
    /// Whether the target was made the version in service.
    pub(super) is_settled: bool,
}

impl ServiceRollout {
    pub(super) fn new(now: Timestamp, order: RolloutOrder, slack: f64, may_adopt: bool) -> Self {
        Self {
            target: order.target_hash(),
            order,
            ordered_at: now,
            stage: RolloutStage::Trial,
            staged_at: now,
            may_adopt,
            listed: ListedVerdict::default(),
            finding: None,
            open_at_old: 0,
            credit: ExposureCredit::new(slack),
            route_exposed: HashMap::new(),
            ramp: 0.0,
            heard_at: now,
            own: VersionEvidence::default(),
            peers: HashMap::new(),
            earlier: VersionEvidence::default(),
            test: VersionTest::default(),
            failing: BTreeSet::new(),
            trial: Arc::new([]),
            tallied: HashSet::new(),
            breaks: HashMap::new(),
            checked_at: now,
            part: Arc::new([]),
            load: VersionLoad::default(),
            open_at_new: 0.0,
            new_slots: 0.0,
            old_servers: 0,
            new_servers: 0,
            old_state: OldServers::Unseen,
            last_old: Vec::new(),
            old_gone_at: None,
            is_settled: false,
        }
    }

    /// Returns whether no server of the service was found since the order.
    pub(super) const fn is_without_servers(&self) -> bool {
        self.old_servers == 0 && self.new_servers == 0
    }

    /// Returns the versions that an attempt may use; a trial takes credit.
    ///
    /// `old` stands for all that the order does not give to its target.
    pub(super) fn choose(
        &mut self,
        now: Timestamp,
        bounds: RolloutBounds,
        route: u64,
        is_repeat: bool,
        old: VersionChoice,
    ) -> VersionChoice {
        // The target is the version in service, or all that is left.
        let is_only_version = self.old_state != OldServers::Known;
        if !self.stage.is_final() && is_only_version && self.new_servers > 0 {
            return VersionChoice::Target(self.target, Box::new(old));
        }
        match self.stage {
            RolloutStage::RolledBack => old,
            RolloutStage::Whole | RolloutStage::Completed => {
                VersionChoice::Target(self.target, Box::new(old))
            }
            _ if is_repeat => old,
            RolloutStage::Trial => {
                if self.is_trial_due(now, bounds, route) {
                    *self.route_exposed.entry(route).or_default() += 1;
                    VersionChoice::Trial(Arc::clone(&self.trial), Box::new(old))
                } else {
                    old
                }
            }
            // A host that hears nothing would not hear of a verdict either.
            _ if now.since(self.heard_at) >= REPORT_TTL => old,
            RolloutStage::Quarter | RolloutStage::Half => {
                self.ramp += self.stage.traffic_share();
                if self.ramp < 1.0 {
                    return old;
                }
                self.ramp -= 1.0;
                VersionChoice::Part(Arc::clone(&self.part), Box::new(old))
            }
        }
    }

    fn is_trial_due(&mut self, now: Timestamp, bounds: RolloutBounds, route: u64) -> bool {
        if self.trial.is_empty() || self.old_servers == 0 {
            return false;
        }
        let progress = self.progress(now);
        if progress >= PROBE_FROM {
            self.route_exposed.entry(route).or_default();
            // Spent evenly: requests have to arrive at servers that are already busy.
            let spent = ((progress - PROBE_FROM) / (QUARTER_FROM - PROBE_FROM)).min(1.0);
            let part = TRIAL_PART + (PROBE_PART - TRIAL_PART) * spent;
            return self.credit.take(bounds.exposure_share * part);
        }
        // Routes take turns, so that a fault of a rare one shows as early as one of a busy one.
        let exposed = self.route_exposed.entry(route).or_default();
        let own = *exposed;
        let exposed = self.route_exposed.values();
        let behind = exposed.filter(|exposed| own > **exposed + 1).count();
        // A route that seldom has requests must not stop the others.
        let share = bounds.exposure_share * TRIAL_PART;
        self.credit.has(share, behind + 1) && self.credit.take(share)
    }

    pub(super) fn give_back(&mut self, route: u64) {
        self.credit.give_back();
        if let Some(exposed) = self.route_exposed.get_mut(&route) {
            *exposed = exposed.saturating_sub(1);
        }
    }

    /// Returns whether latencies are comparable now: not while few new servers get more
    /// than their usual load.
    pub(super) fn is_timed(&self, now: Timestamp) -> bool {
        match self.stage {
            RolloutStage::Trial => self.progress(now) < PROBE_FROM,
            RolloutStage::Quarter | RolloutStage::Half => false,
            _ => true,
        }
    }

    pub(super) fn record_result(&mut self, record: &AttemptRecord, result: AttemptEvidence) {
        let is_new = record.version == self.target;
        let is_unlisted = is_new && !self.is_tallied(record.incarnation);
        if is_unlisted {
            self.record_unlisted(record.incarnation, result);
        }
        let server = match (is_new, is_unlisted) {
            (false, _) => 0,
            (true, false) => record.incarnation,
            (true, true) => UNLISTED_SERVERS,
        };
        let server = self.own.server_mut(server);
        let (is_failure, latency) = match result {
            AttemptEvidence::Broken => {
                server.broken += u32::from(!is_unlisted);
                return;
            }
            // A failure may come faster than the work.
            AttemptEvidence::Answered {
                is_failure,
                latency,
            } => (is_failure, (!is_failure).then_some(latency)),
            AttemptEvidence::Overdue(waited) => (false, Some(waited)),
        };
        let latency = latency.filter(|_| record.is_timed);
        server.record(is_failure, latency);
        let route = self.own.route_mut(record.route);
        let tally = if is_new {
            &mut route.new
        } else {
            &mut route.old
        };
        tally.record(is_failure, latency);
        if record.is_first {
            self.credit.record_answered();
        }
    }

    /// Counts attempts that an unlisted server broke off once it is known not to have ended.
    ///
    /// Their common tally does not tell which of them answered later.
    fn record_unlisted(&mut self, incarnation: u64, result: AttemptEvidence) {
        let now = self.checked_at;
        match result {
            AttemptEvidence::Broken => {
                let (_, count) = self.breaks.entry(incarnation).or_insert((now, 0));
                *count += 1;
            }
            AttemptEvidence::Answered { .. } => {
                let known = self.breaks.get(&incarnation).copied();
                if let Some((broken_at, count)) = known
                    && now.since(broken_at) >= END_WAIT
                {
                    self.breaks.remove(&incarnation);
                    self.own.server_mut(UNLISTED_SERVERS).broken += count;
                }
            }
            AttemptEvidence::Overdue(_) => {}
        }
    }

    /// Returns whether attempts at a server of the new version are counted by server.
    fn is_tallied(&self, incarnation: u64) -> bool {
        let known = &self.own.servers;
        // Servers that start again have a tally for each incarnation.
        let has_room = known.len() <= 2 * MAX_TALLIED_SERVERS;
        known.iter().any(|known| known.server == incarnation)
            || (has_room && self.tallied.contains(&incarnation))
    }

    /// Part of the order's time that has passed.
    pub(super) fn progress(&self, now: Timestamp) -> f64 {
        let age = now.since(self.ordered_at).as_secs_f64();
        age / self.order.over().as_secs_f64().max(0.001)
    }

    /// Reads which servers run which version, and tests the evidence.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        registry: &ServerRegistry,
        bounds: RolloutBounds,
    ) {
        self.checked_at = now;
        let servers = registry.of_service(&self.order.service);
        let (new, old): (Vec<_>, Vec<_>) =
            servers.partition(|(_, server)| server.version_hash() == self.target);
        self.old_servers = old.len();
        self.new_servers = new.len();
        if !old.is_empty() {
            self.old_state = OldServers::Known;
            let known = old.iter();
            let known = known.map(|(key, server)| (*key, server.incarnation_hash()));
            self.last_old = known.collect();
        } else if !self.last_old.is_empty() {
            let mut last_old = self.last_old.iter();
            if last_old.all(|(key, incarnation)| registry.has_left(*key, *incarnation)) {
                self.old_state = OldServers::Left;
            }
        }
        let gone_at = self.old_gone_at.unwrap_or(now);
        let is_only_new = self.old_servers == 0 && self.new_servers > 0;
        self.old_gone_at = is_only_new.then_some(gone_at);
        let slots = new
            .iter()
            .filter_map(|(_, server)| server.registration.slots);
        self.new_slots = f64::from(slots.sum::<u32>()) / new.len().max(1) as f64;
        // Servers that fail by themselves come last: whether a version is bad shows at others.
        let mut ranked: Vec<(bool, u64, ServerKey)> = new
            .into_iter()
            .map(|(key, server)| {
                let is_failing = self.failing.contains(&server.incarnation_hash());
                let preference = preference_of(self.order.number, server.hash);
                (is_failing, preference, key)
            })
            .collect();
        ranked.sort_unstable();
        // By preference alone, so that all hosts count the same servers.
        let mut tallied: Vec<_> = ranked.iter().map(|(_, rank, key)| (*rank, *key)).collect();
        tallied.sort_unstable();
        let tallied = tallied.iter().take(MAX_TALLIED_SERVERS);
        let tallied = tallied.map(|(_, key)| registry.server(*key).incarnation_hash());
        self.tallied = tallied.collect();
        let (trial, part) = self.carriers(now, bounds);
        let first = |count: usize| -> Vec<ServerKey> {
            let first = ranked.iter().take(count.max(MIN_TRIAL_SERVERS));
            first.map(|(.., key)| *key).collect()
        };
        let (trial, part) = (first(trial), first(part));
        if *trial != *self.trial {
            self.trial = trial.into();
        }
        if *part != *self.part {
            self.part = part.into();
        }
        if self.stage.is_final() {
            return;
        }
        let evidence = self.evidence();
        if let Some(finding) = self.test.update(now, &evidence) {
            self.finding = Some(finding);
            self.enter(now, RolloutStage::RolledBack);
        }
        self.failing.extend(self.test.failing_servers());
    }

    /// Returns the evidence of all hosts that this one heard of.
    pub(super) fn evidence(&self) -> VersionEvidence {
        let mut evidence = self.own.clone();
        evidence.add(&self.earlier);
        for peer in self.peers.values() {
            evidence.add(&peer.evidence);
        }
        evidence
    }

    pub(super) fn suspicion(&self) -> f64 {
        self.test.suspicion(&self.evidence())
    }

    /// Returns the requests that this host sent to the service, and to the new version, in the trial.
    pub(super) const fn exposure(&self) -> (u64, u64) {
        (self.credit.sent(), self.credit.exposed())
    }

    pub(super) fn enter(&mut self, now: Timestamp, stage: RolloutStage) {
        self.adopt(now, self.stage.merged(stage));
    }

    /// Takes over what the store shows.
    pub(super) fn adopt(&mut self, now: Timestamp, stage: RolloutStage) {
        if stage != self.stage {
            self.stage = stage;
            self.staged_at = now;
        }
    }

    /// Merges what a peer, or an aggregator, says of the same order.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        host: &str,
        started_at_us: u64,
        report: OrderReport,
    ) {
        let ordered_at = now.before(Duration::from_millis(report.age_ms));
        self.ordered_at = self.ordered_at.min(ordered_at);
        self.heard_at = now;
        self.check_listed(now, report.stage);
        self.enter(now, report.stage);
        self.failing.extend(report.failing);
        if host.is_empty() {
            return;
        }
        let mut routes = report.evidence.routes.iter();
        if self.old_state == OldServers::Unseen && routes.any(|route| route.old.answers > 0) {
            self.old_state = OldServers::Known;
        }
        let view = PeerView {
            started_at_us,
            received_at: now,
            stage: report.stage,
            open_at_old: report.open_at_old,
            evidence: report.evidence,
        };
        if let Some(before) = self.peers.insert(host.to_owned(), view)
            && before.started_at_us != started_at_us
        {
            self.earlier.add(&before.evidence);
        }
    }

    /// Moves the order on, as the leader; returns whether it is ready to be completed.
    pub(super) fn lead(&mut self, now: Timestamp, peer_count: usize) -> bool {
        if self.stage.is_final() {
            return false;
        }
        self.heard_at = now;
        let progress = self.progress(now);
        if self.is_old_gone(now) {
            self.enter(now, RolloutStage::Whole);
        }
        let is_sound = self.hears(now, peer_count)
            && self.is_sound()
            && (self.failing.is_empty() || progress >= HOLD_UNTIL);
        let due = [
            (RolloutStage::Trial, QUARTER_FROM, RolloutStage::Quarter),
            (RolloutStage::Quarter, HALF_FROM, RolloutStage::Half),
            (RolloutStage::Half, WHOLE_FROM, RolloutStage::Whole),
        ];
        let next = due
            .into_iter()
            .find(|(from, at, _)| *from == self.stage && progress >= *at);
        if let Some((_, _, next)) = next
            && is_sound
        {
            self.enter(now, next);
        } else if self.stage < RolloutStage::Whole
            && progress >= CLOSE_AT
            && self.old_gone_at.is_none()
        {
            // What was not shown to be sound in time is not completed, unless only it is left.
            self.enter(now, RolloutStage::RolledBack);
        }
        self.stage == RolloutStage::Whole
            && self.open_at_old == 0
            && (self.is_left_by_all(now, peer_count) || progress >= CLOSE_AT)
    }

    /// Returns whether only servers of the target are left, and for long enough if it is uncertain.
    fn is_old_gone(&self, now: Timestamp) -> bool {
        self.old_gone_at.is_some_and(|since| {
            self.old_state == OldServers::Left || now.since(since) >= GONE_TIME
        })
    }

    /// Returns whether enough is known of the new version, and nothing speaks against it.
    pub(super) fn is_sound(&self) -> bool {
        let evidence = self.evidence();
        let routes = evidence.routes.iter();
        let (old, new) = routes.fold((0, 0), |(old, new), route| {
            (old + route.old.answers, new + route.new.answers)
        });
        let enough = MIN_ANSWERS.min((f64::from(old) * MIN_ANSWER_SHARE).ceil() as u32);
        let has_routes = evidence.routes.iter().all(|route| {
            let enough = (f64::from(route.old.answers) * MIN_ANSWER_SHARE) as u32;
            route.new.answers >= enough.min(MIN_ROUTE_ANSWERS)
        });
        self.new_servers > 0
            && new >= enough
            && has_routes
            && self.test.suspicion(&evidence) < MAX_SUSPICION
    }

    /// Returns whether enough hosts report; others may have seen bad answers.
    pub(super) fn hears(&self, now: Timestamp, peer_count: usize) -> bool {
        let peers = self.peers.values();
        let fresh = peers.filter(|peer| peer.is_fresh(now));
        fresh.count() as f64 >= peer_count as f64 * MIN_HEARD_SHARE
    }

    /// Returns whether all hosts say that they left the old version.
    pub(super) fn is_left_by_all(&self, now: Timestamp, peer_count: usize) -> bool {
        let peers = self.peers.values();
        let has_left = |peer: &&PeerView| {
            peer.stage >= RolloutStage::Whole && peer.open_at_old == 0 && peer.is_fresh(now)
        };
        peers.filter(has_left).count() >= peer_count
    }

    /// Returns what this host tells its peers; an aggregate leaves the evidence out.
    pub(super) fn report(&self, now: Timestamp, has_evidence: bool) -> OrderReport {
        OrderReport {
            order: self.order.clone(),
            age_ms: now.since(self.ordered_at).as_millis() as u64,
            stage: self.stage,
            open_at_old: self.open_at_old,
            evidence: if has_evidence {
                self.own.clone()
            } else {
                VersionEvidence::default()
            },
            failing: self.failing.iter().copied().collect(),
        }
    }
}
