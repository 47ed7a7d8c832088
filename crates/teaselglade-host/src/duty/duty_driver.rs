//! Holds the lease of the duties and does them.

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

use super::ReportLog;
use super::usage_reporter::UsageReporter;
use crate::port::{DutyError, DutyPort, LeaderTerm};
use crate::settings::DutySettings;
use crate::state::HostState;

/// Name of the one lease for all duties.
const LEASE_NAME: &str = "duties";
/// Time between two looks at the lease and the duties.
const TICK: Duration = Duration::from_millis(100);
/// Time between two plans of the servers.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Windows before the present one whose reports are sent once more by a new holder.
const RESENT_WINDOWS: u64 = 3;
/// Pause after a failed step of the reports.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

/// Returns the times of the lease for the platform's bounds.
///
/// A holder that cannot renew stops acting within the bound, and a rival waits longer than that.
#[must_use]
pub fn lease_timings(bounds: &DutySettings) -> LeaseTimings {
    let term = bounds.lease_term;
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

/// Something that a call under the duties brought.
#[derive(Debug)]
enum DutyNews {
    Lease(LeaseEvent),
    Ordered(ServerOrder, OrderOutcome, LeaseNumber, bool),
    Reports(ReportLog, BTreeSet<u64>, LeaseNumber, bool),
}

/// Holds the lease of the duties and does them.
#[derive(Debug)]
pub struct DutyDriver {
    host: Arc<HostState>,
    port: Arc<dyn DutyPort>,
    log: Arc<dyn LogPort>,
    clock: SuspendClock,
    holder: LeaseHolder,
    turn: u64,
    is_candidate: bool,
    planners: BTreeMap<String, ServerAutoscaler>,
    planned_at: Timestamp,
    /// Number that the platform told to be out of date.
    fenced: Option<LeaseNumber>,
    reports: ReportLog,
    reported: BTreeSet<u64>,
    is_reporting: bool,
    report_after: Timestamp,
    sender: UnboundedSender<DutyNews>,
    news: UnboundedReceiver<DutyNews>,
}

impl DutyDriver {
    /// Makes the driver of a host; `port` does the duties.
    #[must_use]
    pub fn new(host: Arc<HostState>, port: Arc<dyn DutyPort>) -> Self {
        let (sender, news) = unbounded_channel();
        Self {
            log: Arc::clone(&host.ports.log),
            clock: SuspendClock::start(),
            holder: new_holder(&host, 0),
            turn: 0,
            is_candidate: true,
            planners: BTreeMap::new(),
            planned_at: Timestamp::ZERO,
            fenced: None,
            reports: ReportLog::default(),
            reported: BTreeSet::new(),
            is_reporting: false,
            report_after: Timestamp::ZERO,
            sender,
            news,
            host,
            port,
        }
    }

    /// Holds the lease and does the duties until the host stops; then gives the lease up.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stopping = self.host.stopping.clone();
        let mut is_stopping = false;
        while !(is_stopping && (self.holder.is_released() || !self.is_candidate)) {
            tokio::select! {
                () = stopping.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    self.on_lease(LeaseEvent::Stop);
                }
                Some(news) = self.news.recv() => self.on_news(news),
                _tick = ticks.tick() => {
                    if !is_stopping {
                        self.follow_candidacy();
                    }
                    self.on_lease(LeaseEvent::Tick);
                    self.do_duties();
                }
            }
        }
    }

    fn on_news(&mut self, news: DutyNews) {
        match news {
            DutyNews::Lease(event) => self.on_lease(event),
            DutyNews::Ordered(order, outcome, number, is_fenced) => {
                let now = self.host.now();
                if let Some(planner) = self.planners.get_mut(&order.service) {
                    planner.record_outcome(now, &order, outcome);
                }
                self.note_fenced(number, is_fenced);
            }
            DutyNews::Reports(reports, reported, number, is_fenced) => {
                self.is_reporting = false;
                self.report_after = self.host.now() + REPORT_PAUSE;
                let mut decisions = self.host.lock_decisions();
                for counts in reports.since(0) {
                    decisions.usage.record_decided(counts.window);
                }
                drop(decisions);
                self.reports = reports;
                self.reported = reported;
                self.note_fenced(number, is_fenced);
            }
        }
    }

    fn on_lease(&mut self, event: LeaseEvent) {
        if !self.is_candidate && event == LeaseEvent::Tick {
            return;
        }
        let now = self.clock.now();
        let actions = self.holder.on_event(now, event);
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Takes part in the lease only while few hosts go before this one.
    ///
    /// A host that takes part again knows nothing of what happened meanwhile, so it begins anew. In
    /// a large fleet only collectors hear all hosts, so another holder gives the lease up.
    fn follow_candidacy(&mut self) {
        let now = self.host.now();
        let decisions = self.host.lock_decisions();
        let is_candidate = decisions.membership.is_leader_candidate(now);
        let is_large = decisions.membership.is_large();
        drop(decisions);
        let is_holder = self.holder.active_number(self.clock.now()).is_some();
        if self.holder.is_released() || (is_candidate && !self.is_candidate) {
            self.turn += 1;
            self.holder = new_holder(&self.host, self.turn);
        } else if is_holder && is_large && !is_candidate {
            info!(event = "duties_passed_on");
            self.on_lease(LeaseEvent::Stop);
        }
        self.is_candidate = is_candidate || (is_holder && !is_large);
    }

    fn carry_out(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::Read { from, max_records } => self.read_lease(from, max_records),
            LeaseAction::Append(body) => self.append_lease(body),
            LeaseAction::Gained(number) => {
                info!(event = "duties_gained", number = fencing_number(number));
                self.note_held(true);
                self.planners.clear();
                self.reported.clear();
            }
            LeaseAction::Lost(number) => {
                info!(event = "duties_lost", number = fencing_number(number));
                self.note_held(false);
            }
        }
    }

    fn note_held(&self, is_held: bool) {
        self.host.metrics.is_leader.set(i64::from(is_held));
        self.host.lock_decisions().membership.set_leader(is_held);
    }

    fn read_lease(&self, from: u64, most: u32) {
        let log = Arc::clone(&self.log);
        self.call_lease("read_lease", LeaseEvent::ReadFailed, async move {
            let stream = StreamName::leases(LEASE_NAME);
            let page = log.read(&stream, from, most, Duration::ZERO).await?;
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

    /// Makes a call for the lease and takes its event in when it ends.
    fn call_lease(
        &self,
        name: &'static str,
        failed: LeaseEvent,
        call: impl Future<Output = Result<LeaseEvent, LogError>> + Send + 'static,
    ) {
        let (host, sender) = (Arc::clone(&self.host), self.sender.clone());
        tokio::spawn(async move {
            let ended = call.await;
            host.record_result(name, &ended);
            // The receiver ends only with the host.
            let _stopped = sender.send(DutyNews::Lease(ended.unwrap_or(failed)));
        });
    }

    /// Returns the number under which the host may act now.
    fn number_in_force(&self) -> Option<LeaseNumber> {
        let number = self.holder.active_number(self.clock.now());
        number.filter(|number| self.fenced != Some(*number))
    }

    fn note_fenced(&mut self, number: LeaseNumber, is_fenced: bool) {
        if is_fenced && self.fenced != Some(number) {
            warn!(event = "duties_fenced", number = fencing_number(number));
            self.fenced = Some(number);
        }
    }

    fn do_duties(&mut self) {
        let Some(number) = self.number_in_force() else {
            return;
        };
        let duties = &self.host.settings.duties;
        let (reports, orders) = (duties.reports_usage, duties.orders_servers);
        if orders && self.host.now().since(self.planned_at) >= PLAN_INTERVAL {
            self.planned_at = self.host.now();
            self.plan_servers(number);
        }
        if reports && !self.is_reporting && self.host.now() >= self.report_after {
            self.report_usage(number);
        }
    }

    fn plan_servers(&mut self, number: LeaseNumber) {
        let Some(held) = self.host.table() else {
            return;
        };
        for service in &held.table.spec().services {
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
        let busy = decisions.busy_servers(now, &service.name);
        let stock = decisions.zone_capacity(&service.name, &scaling.zone_prices);
        drop(decisions);
        let planner = self
            .planners
            .entry(service.name.clone())
            .or_insert_with(|| ServerAutoscaler::new(&service.name));
        let orders = planner.plan(now, scaling, &stock, busy);
        for order in &orders {
            info!(
                event = "servers_ordered",
                service = order.service,
                zone = order.zone,
                reclaimable = order.reclaimable,
                desired = order.desired,
                busy,
                peak = planner.peak(),
                stock = ?stock.get(&order.zone),
            );
        }
        orders
    }

    fn send_order(&self, order: ServerOrder, number: LeaseNumber) {
        let term = self.term(number);
        let (host, port, sender) = (
            Arc::clone(&self.host),
            Arc::clone(&self.port),
            self.sender.clone(),
        );
        tokio::spawn(async move {
            let sent = port.order_servers(&term, &order).await;
            let (outcome, is_fenced) = match &sent {
                Ok(()) => (OrderOutcome::Accepted, false),
                Err(DutyError::NoCapacity { detail }) => {
                    info!(event = "no_servers_there", zone = order.zone, detail);
                    (OrderOutcome::NoCapacity, false)
                }
                Err(DutyError::Fenced { .. }) => (OrderOutcome::Failed, true),
                Err(_failed) => (OrderOutcome::Failed, false),
            };
            // That none are to be had is an answer of a platform that is there.
            let answered = sent.or_else(|error| match error {
                DutyError::NoCapacity { .. } => Ok(()),
                failed => Err(failed),
            });
            host.record_result("order_servers", &answered);
            // The receiver ends only with the host.
            let _stopped = sender.send(DutyNews::Ordered(order, outcome, number, is_fenced));
        });
    }

    fn report_usage(&mut self, number: LeaseNumber) {
        let wall = HostState::wall_time();
        let span = self.host.settings.duties.usage_window.as_micros() as u64;
        let present = wall.as_micros() / span.max(1);
        let mut decisions = self.host.lock_decisions();
        let due = decisions
            .usage
            .due_window(wall)
            .map(|window| decisions.usage.total(window));
        drop(decisions);
        let oldest = present.saturating_sub(RESENT_WINDOWS);
        let is_open = |counts: &&WindowCounts| !self.reported.contains(&counts.window);
        let unsent = self.reports.since(oldest).filter(is_open).count();
        if due.is_none() && unsent == 0 {
            return;
        }
        self.is_reporting = true;
        let reporter = UsageReporter {
            host: Arc::clone(&self.host),
            port: Arc::clone(&self.port),
            log: Arc::clone(&self.log),
            term: self.term(number),
            reports: self.reports.clone(),
            reported: self.reported.clone(),
            oldest,
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let (decided, sent, is_fenced) = reporter.run(due).await;
            let news = DutyNews::Reports(decided, sent, number, is_fenced);
            // The receiver ends only with the host.
            let _stopped = sender.send(news);
        });
    }

    fn term(&self, number: LeaseNumber) -> LeaderTerm {
        LeaderTerm {
            leader: self.host.settings.name.clone(),
            fencing_number: fencing_number(number),
        }
    }
}

/// Makes a holder; `turn` counts the times that this process took part in the lease.
fn new_holder(host: &HostState, turn: u64) -> LeaseHolder {
    let identity = lease_identity(&host.settings.name, host.started_at_us, turn);
    LeaseHolder::new(
        identity,
        lease_timings(&host.settings.duties),
        host.started_at_us ^ turn,
    )
}

/// Returns who a process is to the lease, each time that it takes part.
///
/// Processes of a fleet may start in the same microsecond, so the host's name tells them apart.
#[must_use]
pub fn lease_identity(host: &str, start: u64, turn: u64) -> LeaseIdentity {
    LeaseIdentity {
        host: host.to_owned(),
        start: name_hash(&format!("{host}/{start}/{turn}")),
    }
}

/// Returns the fencing number of a lease; the platform counts from 1.
const fn fencing_number(number: LeaseNumber) -> u64 {
    number.0 + 1
}
