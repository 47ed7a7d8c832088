//! The control role of one data centre.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_core::port::{CloudError, CloudHost, HostState, ReclaimNotice};
use teaselglade_core::time::Timestamp;
use teaselglade_wire::AuditEntry;

use super::engine_planner::{EngineContext, EnginePlanner};
use super::entry_builder::EntryBuilder;
use super::fleet_view::{DatedReport, FleetView};
use super::list_schedule::ListSchedule;
use super::offer_selector::OfferSelector;
use super::removal_planner::RemovalPlanner;
use super::slot_allocation::SlotAllocation;
use super::slot_planner::{HostContext, SlotPlanner};
use super::{ControlAction, ControlEvent, ControlLimits, ControlOptions, ControlTerm};

/// Planner of the control role in one process; it acts only while the process holds the lease.
///
/// Every order states a desired state under a token that all planners derive in the same way, and
/// a new lease holder reads the current state before it sends orders. An order therefore never
/// takes effect twice, even if its response is lost.
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
    entry_builder: EntryBuilder,
    zone: String,
    limits: ControlLimits,
    term: Option<ControlTerm>,
    gained_at: Timestamp,
    view: FleetView,
    selector: OfferSelector,
    slots: SlotPlanner,
    removals: RemovalPlanner,
    engines: EnginePlanner,
    list_schedule: ListSchedule,
    next_notice_read: Timestamp,
    next_report_reads: BTreeMap<HostName, Timestamp>,
}

impl ControlPlanner {
    /// Creates a planner without a lease.
    #[must_use]
    pub fn new(options: ControlOptions) -> Self {
        Self {
            entry_builder: EntryBuilder::new(options.host),
            zone: options.zone,
            limits: options.limits,
            term: None,
            gained_at: Timestamp::ZERO,
            view: FleetView::default(),
            selector: OfferSelector::new(options.offers, options.seed),
            slots: SlotPlanner::default(),
            removals: RemovalPlanner::default(),
            engines: EnginePlanner::new(options.profiles),
            list_schedule: ListSchedule::default(),
            next_notice_read: Timestamp::ZERO,
            next_report_reads: BTreeMap::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Timestamp, event: ControlEvent) -> Vec<ControlAction> {
        let should_plan = match &event {
            ControlEvent::Tick | ControlEvent::NoticesRead(_) => true,
            ControlEvent::LeaseChanged(term) => self.is_new_lease(*term),
            _ => false,
        };
        let entries = self.apply_event(now, event);
        let mut actions = entries
            .into_iter()
            .map(ControlAction::Record)
            .collect::<Vec<_>>();
        let term = self.term.filter(|term| now < term.valid_until);
        if let Some(term) = term.filter(|_| should_plan) {
            self.plan(now, term, &mut actions);
        }
        actions
    }

    fn apply_event(&mut self, now: Timestamp, event: ControlEvent) -> Vec<AuditEntry> {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::LeaseChanged(term) => self.set_term(now, term),
            ControlEvent::TableChanged(table) => {
                self.view.table = Some(table);
                self.list_schedule.shorten_interval(&self.limits);
            }
            ControlEvent::HostsRead {
                requested_at,
                hosts,
            } => self.view.update_hosts(requested_at, hosts),
            ControlEvent::CloudRead {
                requested_at,
                hosts,
            } => return self.update_cloud_hosts(now, requested_at, hosts),
            ControlEvent::NoticesRead(notices) => return self.add_notices(now, notices),
            ControlEvent::HostOrdered { token, result } => {
                return self
                    .record_order(now, &token, &result)
                    .into_iter()
                    .collect();
            }
            ControlEvent::HostReleased { host, result } => {
                return self
                    .record_release(now, &host, &result)
                    .into_iter()
                    .collect();
            }
            ControlEvent::EngineRead { host, result } => {
                let change = self.engines.record_read(now, &host, result);
                let entry = |change| self.entry_builder.engine_changed(now, &host, &change);
                return change.map(entry).into_iter().collect();
            }
            ControlEvent::EngineOrdered { host, result } => {
                let change = self.engines.record_order(now, &host, result);
                let entry = |change| self.entry_builder.engine_changed(now, &host, &change);
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
                self.engines
                    .reservations()
                    .record_result(now, &item, result);
            }
        }
        Vec::new()
    }

    /// Returns whether `term` belongs to a lease other than the current one.
    fn is_new_lease(&self, term: Option<ControlTerm>) -> bool {
        let number = term.map(|term| term.number);
        number.is_some() && number != self.term.map(|term| term.number)
    }

    fn set_term(&mut self, now: Timestamp, term: Option<ControlTerm>) {
        if self.is_new_lease(term) {
            self.gained_at = now;
            self.list_schedule = ListSchedule::default();
            self.next_notice_read = now;
            self.next_report_reads.clear();
            self.slots.reset();
            self.removals.reset();
            self.engines.reset();
        }
        self.term = term;
        self.entry_builder.set_term(term);
    }

    fn update_cloud_hosts(
        &mut self,
        now: Timestamp,
        requested_at: Timestamp,
        hosts: Vec<CloudHost>,
    ) -> Vec<AuditEntry> {
        for host in &hosts {
            self.selector.update_price(host);
        }
        self.view.update_cloud_hosts(requested_at, hosts);
        self.removals.update_cloud_hosts(requested_at);
        let found = self.slots.update_cloud_hosts(requested_at, &self.view);
        let entries = found
            .iter()
            .map(|host| self.entry_builder.host_ordered(now, host));
        entries.collect()
    }

    fn add_notices(&mut self, now: Timestamp, notices: Vec<ReclaimNotice>) -> Vec<AuditEntry> {
        let fresh = self.view.add_notices(now, notices, &self.limits);
        let until = now + self.limits.reclaim_backoff;
        for notice in &fresh {
            self.list_schedule.shorten_interval(&self.limits);
            if let Some(ordered) = self.view.cloud_hosts.get(&notice.host) {
                self.selector.avoid(&ordered.host.order, until);
            }
        }
        let is_local =
            |notice: &&ReclaimNotice| self.view.zone(&notice.host) == Some(self.zone.as_str());
        let entries = fresh.iter().filter(is_local);
        entries
            .map(|notice| self.entry_builder.notice_received(now, notice))
            .collect()
    }

    fn record_order(
        &mut self,
        now: Timestamp,
        token: &str,
        result: &Result<CloudHost, CloudError>,
    ) -> Option<AuditEntry> {
        let order = self.slots.record_result(now, token, result)?;
        self.list_schedule.shorten_interval(&self.limits);
        match result {
            Ok(host) if matches!(host.state, HostState::Leaving | HostState::Gone) => None,
            Ok(host) => {
                self.selector.record_start(host);
                Some(self.entry_builder.host_ordered(now, host))
            }
            Err(CloudError::Refused { retry_after, .. }) => {
                self.selector
                    .record_rejection(now, &order, *retry_after, &self.limits);
                Some(self.entry_builder.host_refused(now, &order))
            }
            Err(CloudError::Unknown { .. }) => None,
        }
    }

    fn record_release(
        &mut self,
        now: Timestamp,
        host: &HostName,
        result: &Result<(), CloudError>,
    ) -> Option<AuditEntry> {
        self.removals.record_release(now, host);
        self.list_schedule.shorten_interval(&self.limits);
        result.as_ref().ok()?;
        Some(self.entry_builder.host_released(now, host))
    }

    fn plan(&mut self, now: Timestamp, term: ControlTerm, actions: &mut Vec<ControlAction>) {
        self.plan_reads(now, actions);
        if !self.view.was_read_since(self.gained_at) {
            self.list_schedule.shorten_interval(&self.limits);
            return;
        }
        self.plan_hosts(now, actions);
        actions.extend(self.engines.plan(EngineContext {
            now,
            term,
            gained_at: self.gained_at,
            zone: &self.zone,
            view: &self.view,
            draining: self.removals.draining(),
            limits: &self.limits,
        }));
        self.plan_reports(now, actions);
    }

    fn plan_hosts(&mut self, now: Timestamp, actions: &mut Vec<ControlAction>) {
        let allocations = SlotAllocation::for_all_services(&self.view);
        let context = HostContext {
            now,
            zone: &self.zone,
            view: &self.view,
            allocations: &allocations,
            selector: &self.selector,
        };
        if !self.view.is_fresh(now, &self.limits) {
            if self.slots.has_work(context) || self.removals.has_work(context) {
                self.list_schedule.shorten_interval(&self.limits);
            }
            return;
        }
        let orders = self.slots.plan(context, &self.limits);
        actions.extend(orders.into_iter().map(ControlAction::OrderHost));
        let released = self.removals.plan(context, &self.engines, &self.limits);
        actions.extend(released.into_iter().map(ControlAction::ReleaseHost));
    }

    fn plan_reads(&mut self, now: Timestamp, actions: &mut Vec<ControlAction>) {
        if self.view.has_starting_host(&self.zone) {
            self.list_schedule.shorten_interval(&self.limits);
        }
        if self.list_schedule.is_due(now, &self.limits) {
            actions.push(ControlAction::ReadHosts);
            actions.push(ControlAction::ReadCloud);
        }
        if now >= self.next_notice_read {
            self.next_notice_read = now + self.limits.notices_interval;
            let after = self.view.last_notice_number;
            actions.push(ControlAction::ReadNotices { after });
        }
    }

    fn plan_reports(&mut self, now: Timestamp, actions: &mut Vec<ControlAction>) {
        let servers = &self.view.servers;
        self.next_report_reads
            .retain(|name, _| servers.contains_key(name));
        let staying = self.view.staying_servers();
        for host in staying.filter(|host| host.zone == self.zone) {
            let next = self.next_report_reads.entry(host.name.clone()).or_default();
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
