//! The control role of one data centre.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_core::port::{CloudError, CloudHost, HostState, ReclaimNotice};
use teaselglade_core::time::Timestamp;
use teaselglade_wire::AuditEntry;

use super::engine_planner::{EnginePlanner, EngineStep};
use super::entry_author::EntryAuthor;
use super::fleet_view::{DatedReport, FleetView};
use super::list_schedule::ListSchedule;
use super::offer_market::OfferMarket;
use super::removal_planner::RemovalPlanner;
use super::service_roster::ServiceRoster;
use super::slot_planner::{SlotPlanner, SlotStep};
use super::{ControlAction, ControlEvent, ControlLimits, ControlOptions, ControlTerm};

/// Planner of the control role in one process; it acts only while it has the lease.
///
/// All it orders is a desired state under a name that anyone would choose alike, and a new holder
/// reads before it orders. So nothing is done twice, whichever answers were lost.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::control::{
///     ControlAction, ControlEvent, ControlLimits, ControlOptions, ControlPlanner, ControlTerm,
/// };
/// use teaselglade_state::lease::LeaseNumber;
///
/// let mut planner = ControlPlanner::new(ControlOptions {
///     host: "galway-e1".to_owned(),
///     zone: "galway".to_owned(),
///     offers: Vec::new(),
///     profiles: Vec::new(),
///     limits: ControlLimits::default(),
///     seed: 1,
/// });
/// let now = Timestamp::from_millis(1_000);
/// assert!(planner.on_event(now, ControlEvent::Tick).is_empty());
/// let term = ControlTerm { number: LeaseNumber(4), valid_until: Timestamp::from_millis(9_000) };
/// let actions = planner.on_event(now, ControlEvent::LeaseChanged(Some(term)));
/// assert!(actions.contains(&ControlAction::ReadCloud));
/// ```
#[derive(Debug)]
pub struct ControlPlanner {
    author: EntryAuthor,
    zone: String,
    limits: ControlLimits,
    term: Option<ControlTerm>,
    gained: Timestamp,
    view: FleetView,
    market: OfferMarket,
    slots: SlotPlanner,
    removals: RemovalPlanner,
    engines: EnginePlanner,
    lists: ListSchedule,
    next_notices: Timestamp,
    next_reports: BTreeMap<HostName, Timestamp>,
}

impl ControlPlanner {
    /// Makes a planner without a lease.
    #[must_use]
    pub fn new(options: ControlOptions) -> Self {
        Self {
            author: EntryAuthor::new(options.host),
            zone: options.zone,
            limits: options.limits,
            term: None,
            gained: Timestamp::ZERO,
            view: FleetView::default(),
            market: OfferMarket::new(options.offers, options.seed),
            slots: SlotPlanner::default(),
            removals: RemovalPlanner::default(),
            engines: EnginePlanner::new(options.profiles),
            lists: ListSchedule::default(),
            next_notices: Timestamp::ZERO,
            next_reports: BTreeMap::new(),
        }
    }

    /// Takes an event and returns what to do.
    pub fn on_event(&mut self, now: Timestamp, event: ControlEvent) -> Vec<ControlAction> {
        let plans = match &event {
            ControlEvent::Tick | ControlEvent::NoticesRead(_) => true,
            ControlEvent::LeaseChanged(term) => self.is_gain(*term),
            _ => false,
        };
        let entries = self.note_event(now, event);
        let mut actions = entries
            .into_iter()
            .map(ControlAction::Record)
            .collect::<Vec<_>>();
        let term = self.term.filter(|term| now < term.valid_until);
        if let Some(term) = term.filter(|_| plans) {
            self.plan(now, term, &mut actions);
        }
        actions
    }

    fn note_event(&mut self, now: Timestamp, event: ControlEvent) -> Vec<AuditEntry> {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::LeaseChanged(term) => self.note_lease(now, term),
            ControlEvent::TableChanged(table) => {
                self.view.table = Some(table);
                self.lists.hurry(&self.limits);
            }
            ControlEvent::HostsRead {
                requested_at,
                hosts,
            } => self.view.note_hosts(requested_at, hosts),
            ControlEvent::CloudRead {
                requested_at,
                hosts,
            } => return self.note_cloud(now, requested_at, hosts),
            ControlEvent::NoticesRead(notices) => return self.note_notices(now, notices),
            ControlEvent::HostOrdered { token, result } => {
                return self
                    .note_ordered(now, &token, &result)
                    .into_iter()
                    .collect();
            }
            ControlEvent::HostReleased { host, result } => {
                return self
                    .note_released(now, &host, &result)
                    .into_iter()
                    .collect();
            }
            ControlEvent::EngineRead { host, result } => {
                let change = self.engines.note_read(now, &host, result);
                let entry = |change| self.author.engine_changed(now, &host, &change);
                return change.map(entry).into_iter().collect();
            }
            ControlEvent::EngineOrdered { host, result } => {
                let change = self.engines.note_order(now, &host, result);
                let entry = |change| self.author.engine_changed(now, &host, &change);
                return change.map(entry).into_iter().collect();
            }
            ControlEvent::ReportRead {
                host,
                requested_at,
                report,
            } => {
                self.view.reports.insert(
                    host,
                    DatedReport {
                        requested_at,
                        report,
                    },
                );
            }
            ControlEvent::Reserved { item, result } => {
                self.engines.weights().note_answer(now, &item, result);
            }
        }
        Vec::new()
    }

    /// Returns whether `term` is of another lease than the present one.
    fn is_gain(&self, term: Option<ControlTerm>) -> bool {
        let number = term.map(|term| term.number);
        number.is_some() && number != self.term.map(|term| term.number)
    }

    fn note_lease(&mut self, now: Timestamp, term: Option<ControlTerm>) {
        if self.is_gain(term) {
            self.gained = now;
            self.lists = ListSchedule::default();
            self.next_notices = now;
            self.next_reports.clear();
            self.slots.reset();
            self.removals.reset();
            self.engines.reset();
        }
        self.term = term;
        self.author.note_term(term);
    }

    fn note_cloud(
        &mut self,
        now: Timestamp,
        requested_at: Timestamp,
        hosts: Vec<CloudHost>,
    ) -> Vec<AuditEntry> {
        for host in &hosts {
            self.market.note_price(host);
        }
        self.view.note_cloud(requested_at, hosts);
        self.removals.note_cloud(requested_at);
        let found = self.slots.note_cloud(requested_at, &self.view);
        let entries = found.iter().map(|host| self.author.host_ordered(now, host));
        entries.collect()
    }

    fn note_notices(&mut self, now: Timestamp, notices: Vec<ReclaimNotice>) -> Vec<AuditEntry> {
        let fresh = self.view.note_notices(now, notices, &self.limits);
        let until = now + self.limits.reclaim_backoff;
        for notice in &fresh {
            self.lists.hurry(&self.limits);
            if let Some(ordered) = self.view.cloud.get(&notice.host) {
                self.market.avoid(&ordered.host.order, until);
            }
        }
        let is_here =
            |notice: &&ReclaimNotice| self.view.zone(&notice.host) == Some(self.zone.as_str());
        let entries = fresh.iter().filter(is_here);
        entries
            .map(|notice| self.author.notice_received(now, notice))
            .collect()
    }

    fn note_ordered(
        &mut self,
        now: Timestamp,
        token: &str,
        result: &Result<CloudHost, CloudError>,
    ) -> Option<AuditEntry> {
        let order = self.slots.note_answer(now, token, result)?;
        self.lists.hurry(&self.limits);
        match result {
            Ok(host) if matches!(host.state, HostState::Leaving | HostState::Gone) => None,
            Ok(host) => {
                self.market.note_started(host);
                Some(self.author.host_ordered(now, host))
            }
            Err(CloudError::Refused { retry_after, .. }) => {
                self.market
                    .note_refusal(now, &order, *retry_after, &self.limits);
                Some(self.author.host_refused(now, &order))
            }
            Err(CloudError::Unknown { .. }) => None,
        }
    }

    fn note_released(
        &mut self,
        now: Timestamp,
        host: &HostName,
        result: &Result<(), CloudError>,
    ) -> Option<AuditEntry> {
        self.removals.note_answer(now, host);
        self.lists.hurry(&self.limits);
        result.as_ref().ok()?;
        Some(self.author.host_released(now, host))
    }

    fn plan(&mut self, now: Timestamp, term: ControlTerm, actions: &mut Vec<ControlAction>) {
        self.plan_reads(now, actions);
        if !self.view.is_known(self.gained) {
            self.lists.hurry(&self.limits);
            return;
        }
        self.plan_hosts(now, actions);
        actions.extend(self.engines.plan(EngineStep {
            now,
            term,
            gained: self.gained,
            zone: &self.zone,
            view: &self.view,
            draining: self.removals.draining(),
            limits: &self.limits,
        }));
        self.plan_reports(now, actions);
    }

    fn plan_hosts(&mut self, now: Timestamp, actions: &mut Vec<ControlAction>) {
        let rosters = ServiceRoster::all(&self.view);
        let step = SlotStep {
            now,
            zone: &self.zone,
            view: &self.view,
            rosters: &rosters,
            market: &self.market,
        };
        if !self.view.is_current(now, &self.limits) {
            if self.slots.has_work(step) || self.removals.has_work(step) {
                self.lists.hurry(&self.limits);
            }
            return;
        }
        let orders = self.slots.plan(step, &self.limits);
        actions.extend(orders.into_iter().map(ControlAction::OrderHost));
        let released = self.removals.plan(step, &self.engines, &self.limits);
        actions.extend(released.into_iter().map(ControlAction::ReleaseHost));
    }

    fn plan_reads(&mut self, now: Timestamp, actions: &mut Vec<ControlAction>) {
        if self.view.has_starting(&self.zone) {
            self.lists.hurry(&self.limits);
        }
        if self.lists.is_due(now, &self.limits) {
            actions.push(ControlAction::ReadHosts);
            actions.push(ControlAction::ReadCloud);
        }
        if now >= self.next_notices {
            self.next_notices = now + self.limits.notices_interval;
            let after = self.view.last_notice;
            actions.push(ControlAction::ReadNotices { after });
        }
    }

    fn plan_reports(&mut self, now: Timestamp, actions: &mut Vec<ControlAction>) {
        let servers = &self.view.servers;
        self.next_reports
            .retain(|name, _| servers.contains_key(name));
        let here = self.view.staying_servers();
        for host in here.filter(|host| host.zone == self.zone) {
            let next = self.next_reports.entry(host.name.clone()).or_default();
            let interval = if self.removals.draining().contains(&host.name) {
                self.limits.drain_interval
            } else {
                self.limits.report_interval
            };
            *next = (*next).min(now + interval);
            if now >= *next {
                *next = now + interval;
                actions.push(ControlAction::ReadReport {
                    host: host.name.clone(),
                    address: host.address,
                });
            }
        }
    }
}
