//! Competes for the lease of the leader duties and performs them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::port::{ClockPort, LogError, LogPort, StreamName};
use teaselglade_core::time::Timestamp;
use teaselglade_net::clock::SuspendClock;
use teaselglade_routing::gossip::name_hash;
use teaselglade_routing::scaling::{OrderOutcome, ServerAutoscaler, ServerOrder};
use teaselglade_routing::table::ServiceSpec;
use teaselglade_routing::usage::WindowCounts;
use teaselglade_state::lease::{
    LeaseAction, LeaseEvent, LeaseHolder, LeaseIdentity, LeaseNumber, LeaseTimings,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use super::usage_reporter::UsageReporter;
use super::{ReportLog, TermGuard};
use crate::port::{DutyError, DutyPort, LeaderTerm};
use crate::settings::DutySettings;
use crate::state::HostState;

/// Name of the lease that covers all duties.
const LEASE_NAME: &str = "duties";
/// Interval between checks of the lease and the duties.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between autoscaling plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of past windows whose reports a new leader sends again.
const MAX_RESENT_WINDOWS: u64 = 3;
/// Minimum time from the end of one run of the usage reporter to the next run.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the lease timings for the lease term that the platform requires.
///
/// A leader that cannot renew stops acting within the term, and a rival waits longer than that.
#[must_use]
pub fn lease_timings(settings: &DutySettings) -> LeaseTimings {
    let term = settings.lease_term;
    LeaseTimings {
        term,
        margin: term / 5,
        renew_interval: term / 3,
        takeover_wait: term + term / 5,
        takeover_jitter: term / 5,
        read_interval: term * 2 / 3,
        resolve_interval: term / 10,
    }
}

/// Completion of a call that the driver started.
#[derive(Debug)]
enum DutyEvent {
    /// Event of a lease call.
    Lease(LeaseEvent),
    /// Order, its outcome, the lease number under which it was sent, and whether it was fenced.
    OrderCompleted(ServerOrder, OrderOutcome, LeaseNumber, bool),
    /// Decided reports, reported windows, the lease number, and whether the reporter was fenced.
    ReportsCompleted(ReportLog, BTreeSet<u64>, LeaseNumber, bool),
}

/// Competes for the lease of the leader duties and performs them while holding it.
#[derive(Debug)]
pub struct DutyDriver {
    host: Arc<HostState>,
    port: Arc<dyn DutyPort>,
    log: Arc<dyn LogPort>,
    clock: Arc<SuspendClock>,
    guard: TermGuard,
    holder: LeaseHolder,
    /// Number of times that this process rejoined the competition for the lease.
    participation: u64,
    /// Whether this host takes part in the competition for the lease.
    is_candidate: bool,
    autoscalers: BTreeMap<String, ServerAutoscaler>,
    planned_at: Timestamp,
    /// Lease number that the platform rejected as out of date.
    fenced_number: Option<LeaseNumber>,
    reports: ReportLog,
    reported_windows: BTreeSet<u64>,
    is_reporting: bool,
    next_report_at: Timestamp,
    sender: UnboundedSender<DutyEvent>,
    events: UnboundedReceiver<DutyEvent>,
}

impl DutyDriver {
    /// Creates the driver of a host; `port` performs the duties.
    #[must_use]
    pub fn new(host: Arc<HostState>, port: Arc<dyn DutyPort>) -> Self {
        let (sender, events) = unbounded_channel();
        let clock = Arc::new(SuspendClock::start());
        Self {
            log: Arc::clone(&host.ports.log),
            guard: TermGuard::new(Arc::clone(&clock)),
            clock,
            holder: new_holder(&host, 0),
            participation: 0,
            is_candidate: true,
            autoscalers: BTreeMap::new(),
            planned_at: Timestamp::ZERO,
            fenced_number: None,
            reports: ReportLog::default(),
            reported_windows: BTreeSet::new(),
            is_reporting: false,
            next_report_at: Timestamp::ZERO,
            sender,
            events,
            host,
            port,
        }
    }

    /// Competes for the lease and performs the duties until the host stops.
    ///
    /// Returns after the lease is released.
    pub async fn run(mut self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stopping = self.host.stopping.clone();
        let mut is_stopping = false;
        while !(is_stopping && (self.holder.is_released() || !self.is_candidate)) {
            tokio::select! {
                () = stopping.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    self.on_lease_event(LeaseEvent::Stop);
                }
                Some(event) = self.events.recv() => self.on_duty_event(event),
                _tick = ticks.tick() => {
                    if !is_stopping {
                        self.update_candidacy();
                    }
                    self.on_lease_event(LeaseEvent::Tick);
                    self.perform_duties();
                }
            }
        }
    }

    fn on_duty_event(&mut self, event: DutyEvent) {
        match event {
            DutyEvent::Lease(event) => self.on_lease_event(event),
            DutyEvent::OrderCompleted(order, outcome, number, is_fenced) => {
                let now = self.host.now();
                if let Some(autoscaler) = self.autoscalers.get_mut(&order.service) {
                    autoscaler.record_outcome(now, &order, outcome);
                }
                self.record_fenced(number, is_fenced);
            }
            DutyEvent::ReportsCompleted(reports, reported_windows, number, is_fenced) => {
                self.is_reporting = false;
                self.next_report_at = self.host.now() + REPORT_INTERVAL;
                let mut decisions = self.host.lock_decisions();
                for counts in reports.since(0) {
                    decisions.usage.record_decided(counts.clone());
                }
                if let Some(window) = reports.first_open() {
                    decisions.usage.skip_before(window);
                }
                drop(decisions);
                self.reports = reports;
                self.reported_windows = reported_windows;
                self.record_fenced(number, is_fenced);
            }
        }
    }

    fn on_lease_event(&mut self, event: LeaseEvent) {
        if !self.is_candidate && event == LeaseEvent::Tick {
            return;
        }
        let now = self.clock.now();
        let actions = self.holder.on_event(now, event);
        self.guard
            .set(self.active_number(), self.holder.valid_until());
        for action in actions {
            self.execute(action);
        }
    }

    /// Competes for the lease only while this host is a leader candidate.
    ///
    /// A host that rejoins missed the lease records in between, so it starts with a new holder. In
    /// a large fleet only aggregators receive the digests of all hosts, so a leader that is no
    /// longer a candidate releases the lease; in a small one it keeps the lease.
    fn update_candidacy(&mut self) {
        let now = self.host.now();
        let decisions = self.host.lock_decisions();
        let is_candidate = decisions.membership.is_leader_candidate(now);
        let is_large = decisions.membership.is_large();
        drop(decisions);
        let is_holder = self.holder.active_number(self.clock.now()).is_some();
        if self.holder.is_released() || (is_candidate && !self.is_candidate) {
            self.participation += 1;
            self.holder = new_holder(&self.host, self.participation);
        } else if is_holder && is_large && !is_candidate {
            info!(event = "duties_passed_on");
            self.on_lease_event(LeaseEvent::Stop);
        }
        self.is_candidate = is_candidate || (is_holder && !is_large);
    }

    fn execute(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::Read { from, max_records } => self.read_lease(from, max_records),
            LeaseAction::Append(body) => self.append_lease(body),
            LeaseAction::Gained(number) => {
                info!(event = "duties_gained", number = fencing_number(number));
                self.set_leader(true);
                self.autoscalers.clear();
                self.reported_windows.clear();
            }
            LeaseAction::Lost(number) => {
                info!(event = "duties_lost", number = fencing_number(number));
                self.set_leader(false);
            }
        }
    }

    fn set_leader(&self, is_leader: bool) {
        self.host.metrics.is_leader.set(i64::from(is_leader));
        self.host.lock_decisions().membership.set_leader(is_leader);
    }

    fn read_lease(&self, from: u64, max_records: u32) {
        let log = Arc::clone(&self.log);
        self.call_lease("read_lease", LeaseEvent::ReadFailed, async move {
            let stream = StreamName::leases(LEASE_NAME);
            let page = log.read(&stream, from, max_records, Duration::ZERO).await?;
            Ok(LeaseEvent::Read(page))
        });
    }

    fn append_lease(&self, body: Bytes) {
        let log = Arc::clone(&self.log);
        self.call_lease("append_lease", LeaseEvent::AppendFailed, async move {
            let stream = StreamName::leases(LEASE_NAME);
            log.append(&stream, body).await?;
            Ok(LeaseEvent::Appended)
        });
    }

    /// Spawns a call for the lease; its event, or `failed`, reaches the driver when it ends.
    fn call_lease(
        &self,
        name: &'static str,
        failed: LeaseEvent,
        call: impl Future<Output = Result<LeaseEvent, LogError>> + Send + 'static,
    ) {
        let (host, sender) = (Arc::clone(&self.host), self.sender.clone());
        tokio::spawn(async move {
            let result = call.await;
            host.record_result(name, &result);
            // The receiver lives as long as the host.
            let _stopped = sender.send(DutyEvent::Lease(result.unwrap_or(failed)));
        });
    }

    /// Returns the lease number under which this host may act now, if any.
    fn active_number(&self) -> Option<LeaseNumber> {
        let number = self.holder.active_number(self.clock.now());
        number.filter(|number| self.fenced_number != Some(*number))
    }

    fn record_fenced(&mut self, number: LeaseNumber, is_fenced: bool) {
        if is_fenced && self.fenced_number != Some(number) {
            warn!(event = "duties_fenced", number = fencing_number(number));
            self.fenced_number = Some(number);
            self.guard.set(None, Timestamp::ZERO);
        }
    }

    fn perform_duties(&mut self) {
        let Some(number) = self.active_number() else {
            return;
        };
        let duties = &self.host.settings.duties;
        let (reports, orders) = (duties.reports_usage, duties.orders_servers);
        if orders && self.host.now().since(self.planned_at) >= PLAN_INTERVAL {
            self.planned_at = self.host.now();
            self.plan_servers(number);
        }
        if reports && !self.is_reporting && self.host.now() >= self.next_report_at {
            self.report_usage(number);
        }
    }

    fn plan_servers(&mut self, number: LeaseNumber) {
        let Some(active) = self.host.table() else {
            return;
        };
        for service in &active.table.spec().services {
            for order in self.plan_service(service) {
                self.send_order(order, number);
            }
        }
    }

    fn plan_service(&mut self, service: &ServiceSpec) -> Vec<ServerOrder> {
        let Some(scaling) = &service.scaling else {
            return Vec::new();
        };
        let now = self.host.now();
        let mut decisions = self.host.lock_decisions();
        // The stock holds both versions meanwhile, and neither may be ordered away.
        let (rollouts, registry) = (&decisions.rollouts, &decisions.registry);
        if rollouts.has_two_versions(now, registry, &service.name) {
            return Vec::new();
        }
        let slots = service.engine.as_ref().map(|engine| engine.slots);
        let busy = decisions.busy_servers(now, &service.name, slots);
        let capacity = decisions.zone_capacity(&service.name, &scaling.zone_prices);
        drop(decisions);
        let autoscaler = self
            .autoscalers
            .entry(service.name.clone())
            .or_insert_with(|| ServerAutoscaler::new(&service.name));
        let orders = autoscaler.plan(now, scaling, &capacity, busy);
        for order in &orders {
            info!(
                event = "servers_ordered",
                service = order.service,
                zone = order.zone,
                reclaimable = order.reclaimable,
                desired = order.desired,
                busy,
                peak = autoscaler.peak(),
                stock = ?capacity.get(&order.zone),
            );
        }
        orders
    }

    fn send_order(&self, order: ServerOrder, number: LeaseNumber) {
        let term = self.leader_term(number);
        let (host, port, sender, guard) = (
            Arc::clone(&self.host),
            Arc::clone(&self.port),
            self.sender.clone(),
            self.guard.clone(),
        );
        tokio::spawn(async move {
            if !guard.allows(number) {
                info!(
                    event = "duty_withheld",
                    call = "order_servers",
                    zone = order.zone
                );
                return;
            }
            let result = port.order_servers(&term, &order).await;
            let (outcome, is_fenced) = match &result {
                Ok(()) => (OrderOutcome::Accepted, false),
                Err(DutyError::NoCapacity { detail }) => {
                    info!(event = "no_servers_there", zone = order.zone, detail);
                    (OrderOutcome::NoCapacity, false)
                }
                Err(DutyError::Fenced { .. }) => (OrderOutcome::Failed, true),
                Err(_failed) => (OrderOutcome::Failed, false),
            };
            // A platform that reports a lack of servers is reachable.
            let response = result.or_else(|error| match error {
                DutyError::NoCapacity { .. } => Ok(()),
                failed => Err(failed),
            });
            host.record_result("order_servers", &response);
            // The receiver lives as long as the host.
            let _stopped =
                sender.send(DutyEvent::OrderCompleted(order, outcome, number, is_fenced));
        });
    }

    fn report_usage(&mut self, number: LeaseNumber) {
        let wall_time = HostState::wall_time();
        let window_us = self.host.settings.duties.usage_window.as_micros() as u64;
        let current_window = wall_time.as_micros() / window_us.max(1);
        let mut decisions = self.host.lock_decisions();
        let due = decisions
            .usage
            .due_window(wall_time)
            .map(|window| decisions.usage.total(window));
        drop(decisions);
        let oldest_window = current_window.saturating_sub(MAX_RESENT_WINDOWS);
        let is_unreported =
            |counts: &&WindowCounts| !self.reported_windows.contains(&counts.window);
        let unsent = self
            .reports
            .since(oldest_window)
            .filter(is_unreported)
            .count();
        if due.is_none() && unsent == 0 {
            return;
        }
        self.is_reporting = true;
        let mut reports = self.reports.clone();
        let remembered = self.host.lock_decisions().usage.decided_reports();
        for counts in remembered {
            reports.remember(counts);
        }
        let reporter = UsageReporter {
            host: Arc::clone(&self.host),
            port: Arc::clone(&self.port),
            log: Arc::clone(&self.log),
            term: self.leader_term(number),
            number,
            guard: self.guard.clone(),
            reports,
            reported_windows: self.reported_windows.clone(),
            oldest_window,
            current_window,
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let (reports, reported_windows, is_fenced) = reporter.run(due).await;
            let event = DutyEvent::ReportsCompleted(reports, reported_windows, number, is_fenced);
            // The receiver lives as long as the host.
            let _stopped = sender.send(event);
        });
    }

    fn leader_term(&self, number: LeaseNumber) -> LeaderTerm {
        LeaderTerm {
            leader: self.host.settings.name.clone(),
            fencing_number: fencing_number(number),
        }
    }
}

/// Creates a lease holder; `participation` counts how often this process rejoined the competition.
fn new_holder(host: &HostState, participation: u64) -> LeaseHolder {
    let identity = lease_identity(&host.settings.name, host.started_at_us, participation);
    LeaseHolder::new(
        identity,
        lease_timings(&host.settings.duties),
        host.started_at_us ^ participation,
    )
}

/// Returns the lease identity of a process for one participation.
///
/// Processes of a fleet may start in the same microsecond, so the identity also depends on the
/// name of the host.
#[must_use]
pub fn lease_identity(host: &str, started_at_us: u64, participation: u64) -> LeaseIdentity {
    LeaseIdentity {
        host: host.to_owned(),
        start: name_hash(&format!("{host}/{started_at_us}/{participation}")),
    }
}

/// Returns the fencing number of a lease; the platform counts from 1.
const fn fencing_number(number: LeaseNumber) -> u64 {
    number.0 + 1
}
