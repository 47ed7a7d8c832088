//! The control role of one data centre.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_core::port::{CloudError, CloudHost, EngineError, EngineStatus, ReclaimNotice};
use teaselglade_core::time::Timestamp;
use teaselglade_wire::{AuditAction, AuditEntry};

use super::engine_planner::{EnginePlanner, EngineStep};
use super::fleet_view::{DatedReport, FleetView};
use super::offer_market::OfferMarket;
use super::removal_planner::RemovalPlanner;
use super::service_roster::ServiceRoster;
use super::slot_planner::{SlotPlanner, SlotStep};
use super::{ControlAction, ControlEvent, ControlLimits, ControlOptions, ControlTerm};

/// Times of the next periodic reads.
#[derive(Debug, Clone, Copy, Default)]
struct ReadTimes {
    hosts: Timestamp,
    cloud: Timestamp,
    notices: Timestamp,
}

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
/// let term = ControlTerm { number: LeaseNumber(4), until: Timestamp::from_millis(9_000) };
/// let actions = planner.on_event(now, ControlEvent::Lease(Some(term)));
/// assert!(actions.contains(&ControlAction::ReadCloud));
/// ```
#[derive(Debug)]
pub struct ControlPlanner {
    host: String,
    zone: String,
    limits: ControlLimits,
    term: Option<ControlTerm>,
    gained: Timestamp,
    view: FleetView,
    market: OfferMarket,
    slots: SlotPlanner,
    removals: RemovalPlanner,
    engines: EnginePlanner,
    reads: ReadTimes,
    next_reports: BTreeMap<HostName, Timestamp>,
}

impl ControlPlanner {
    /// Makes a planner without a lease.
    #[must_use]
    pub fn new(options: ControlOptions) -> Self {
        Self {
            host: options.host,
            zone: options.zone,
            limits: options.limits,
            term: None,
            gained: Timestamp::ZERO,
            view: FleetView::default(),
            market: OfferMarket::new(options.offers, options.seed),
            slots: SlotPlanner::default(),
            removals: RemovalPlanner::default(),
            engines: EnginePlanner::new(options.profiles),
            reads: ReadTimes::default(),
            next_reports: BTreeMap::new(),
        }
    }

    /// Takes an event and returns what to do.
    pub fn on_event(&mut self, now: Timestamp, event: ControlEvent) -> Vec<ControlAction> {
        let plans = matches!(
            event,
            ControlEvent::Tick | ControlEvent::Lease(_) | ControlEvent::Notices(_)
        );
        let entries = self.note_event(now, event);
        let mut actions = entries
            .into_iter()
            .map(ControlAction::Record)
            .collect::<Vec<_>>();
        let term = self.term.filter(|term| now < term.until);
        if let Some(term) = term.filter(|_| plans) {
            self.plan(now, term, &mut actions);
        }
        actions
    }

    fn note_event(&mut self, now: Timestamp, event: ControlEvent) -> Vec<AuditEntry> {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::Lease(term) => self.note_lease(now, term),
            ControlEvent::Table(table) => self.view.table = Some(table),
            ControlEvent::Hosts { asked, hosts } => self.view.note_hosts(asked, hosts),
            ControlEvent::Cloud { asked, hosts } => self.note_cloud(asked, hosts),
            ControlEvent::Notices(notices) => return self.note_notices(now, notices),
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
            ControlEvent::EngineRead { host, result } => self.engines.note_read(now, &host, result),
            ControlEvent::EngineOrdered { host, result } => {
                return self.note_engine(now, &host, result).into_iter().collect();
            }
            ControlEvent::Report {
                host,
                asked,
                report,
            } => {
                self.view
                    .reports
                    .insert(host, DatedReport { asked, report });
            }
            ControlEvent::Reserved { item, result } => {
                self.engines.weights().note_answer(now, &item, result);
            }
        }
        Vec::new()
    }

    fn note_lease(&mut self, now: Timestamp, term: Option<ControlTerm>) {
        let number = term.map(|term| term.number);
        if number.is_some() && number != self.term.map(|term| term.number) {
            self.gained = now;
            self.reads = ReadTimes::default();
            self.next_reports.clear();
            self.slots.reset();
            self.removals.reset();
            self.engines.reset();
        }
        self.term = term;
    }

    fn note_cloud(&mut self, asked: Timestamp, hosts: Vec<CloudHost>) {
        for host in &hosts {
            self.market.note_price(host);
        }
        self.view.note_cloud(asked, hosts);
        self.slots.note_cloud(asked);
        self.removals.note_cloud(asked);
    }

    fn note_notices(&mut self, now: Timestamp, notices: Vec<ReclaimNotice>) -> Vec<AuditEntry> {
        let fresh = self.view.note_notices(now, notices, &self.limits);
        let until = now + self.limits.reclaim_back_off;
        let mut entries = Vec::new();
        for notice in fresh {
            if let Some(ordered) = self.view.cloud.get(&notice.host) {
                self.market.avoid(&ordered.host.order, until);
            }
            let to = format!("taken back at_ms={}", notice.deadline.as_millis());
            let subject = notice.host.to_string();
            entries.push(self.entry(now, AuditAction::NoticeReceived, subject, Some(to)));
        }
        entries
    }

    fn note_ordered(
        &mut self,
        now: Timestamp,
        token: &str,
        result: &Result<CloudHost, CloudError>,
    ) -> Option<AuditEntry> {
        let order = self.slots.note_answer(now, token, result)?;
        let kind = format!("{} {} {:?}", order.zone, order.class, order.purchase);
        match result {
            Ok(host) => {
                self.market.note_started(host);
                let to = format!("{} {kind}", host.name);
                Some(self.entry(now, AuditAction::HostOrdered, token, Some(to)))
            }
            Err(CloudError::Refused { retry_after, .. }) => {
                self.market
                    .note_refusal(now, &order, *retry_after, &self.limits);
                Some(self.entry(now, AuditAction::HostRefused, token, Some(kind)))
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
        result.as_ref().ok()?;
        Some(self.entry(now, AuditAction::HostReleased, host.as_str(), None))
    }

    fn note_engine(
        &mut self,
        now: Timestamp,
        host: &HostName,
        result: Result<EngineStatus, EngineError>,
    ) -> Option<AuditEntry> {
        let change = self.engines.note_order(now, host, result)?;
        let action = if change.is_correction {
            AuditAction::EngineCorrected
        } else {
            AuditAction::EngineOrdered
        };
        let to = change.to.to_string();
        let mut entry = self.entry(now, action, host.as_str(), Some(to));
        entry.from = change.from.map(|from| from.to_string());
        Some(entry)
    }

    fn plan(&mut self, now: Timestamp, term: ControlTerm, actions: &mut Vec<ControlAction>) {
        self.plan_reads(now, actions);
        if !self.view.is_current(now, self.gained, &self.limits) {
            return;
        }
        let rosters = ServiceRoster::all(&self.view);
        let step = SlotStep {
            now,
            zone: &self.zone,
            view: &self.view,
            rosters: &rosters,
            market: &self.market,
        };
        let orders = self.slots.plan(step, &self.limits);
        actions.extend(orders.into_iter().map(ControlAction::OrderHost));
        let released = self.removals.plan(step, &self.engines, &self.limits);
        actions.extend(released.into_iter().map(ControlAction::ReleaseHost));
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

    fn plan_reads(&mut self, now: Timestamp, actions: &mut Vec<ControlAction>) {
        if now >= self.reads.hosts {
            self.reads.hosts = now + self.limits.hosts_interval;
            actions.push(ControlAction::ReadHosts);
        }
        if now >= self.reads.cloud {
            self.reads.cloud = now + self.limits.cloud_interval;
            actions.push(ControlAction::ReadCloud);
        }
        if now >= self.reads.notices {
            self.reads.notices = now + self.limits.notices_interval;
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

    fn entry(
        &self,
        now: Timestamp,
        action: AuditAction,
        subject: impl Into<String>,
        to: Option<String>,
    ) -> AuditEntry {
        AuditEntry {
            actor: self.host.clone(),
            action,
            subject: subject.into(),
            from: None,
            to,
            at_ms: now.as_millis(),
            number: self.term.map(|term| term.number.0),
        }
    }
}
