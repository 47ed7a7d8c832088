//! What the control role knows of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use teaselglade_core::id::HostName;
use teaselglade_core::port::{
    CloudHost, HostState, ListedHost, ListedRole, ReclaimNotice, ServerReport,
};
use teaselglade_core::table::{RoutingTable, ServiceRow};
use teaselglade_core::time::Timestamp;

use super::{ControlLimits, HostSlot};

/// Load report with the time before it was asked for.
#[derive(Debug, Clone)]
pub(super) struct DatedReport {
    pub(super) requested_at: Timestamp,
    pub(super) report: ServerReport,
}

/// Host of the cloud API with the slot that its token names.
#[derive(Debug, Clone)]
pub(super) struct OrderedHost {
    pub(super) host: CloudHost,
    pub(super) slot: Option<HostSlot>,
}

/// What the control role knows of the fleet; every part may lag.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    pub(super) table: Option<RoutingTable>,
    pub(super) servers: BTreeMap<HostName, ListedHost>,
    pub(super) entry_zones: BTreeSet<String>,
    pub(super) listed_at: Option<Timestamp>,
    pub(super) cloud: BTreeMap<HostName, OrderedHost>,
    pub(super) cloud_at: Option<Timestamp>,
    pub(super) notices: BTreeMap<HostName, ReclaimNotice>,
    pub(super) last_notice: u64,
    pub(super) reports: BTreeMap<HostName, DatedReport>,
}

impl FleetView {
    pub(super) fn note_hosts(&mut self, requested_at: Timestamp, hosts: Vec<ListedHost>) {
        if self.listed_at.is_some_and(|at| at > requested_at) {
            return;
        }
        self.listed_at = Some(requested_at);
        let (entries, servers): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|host| host.role == ListedRole::Entry);
        let staying = entries.into_iter().filter(|host| !host.leaving);
        self.entry_zones = staying.map(|host| host.zone).collect();
        self.servers = servers
            .into_iter()
            .map(|host| (host.name.clone(), host))
            .collect();
        let servers = &self.servers;
        self.reports.retain(|name, _| servers.contains_key(name));
    }

    pub(super) fn note_cloud(&mut self, requested_at: Timestamp, hosts: Vec<CloudHost>) {
        if self.cloud_at.is_some_and(|at| at > requested_at) {
            return;
        }
        self.cloud_at = Some(requested_at);
        let ordered = hosts.into_iter().map(|host| {
            let slot = HostSlot::parse(&host.order.token);
            (host.name.clone(), OrderedHost { host, slot })
        });
        self.cloud = ordered.collect();
    }

    /// Adds notices and returns those that are new and not yet forgotten.
    pub(super) fn note_notices(
        &mut self,
        now: Timestamp,
        notices: Vec<ReclaimNotice>,
        limits: &ControlLimits,
    ) -> Vec<ReclaimNotice> {
        let memory = limits.notice_retention;
        self.notices
            .retain(|_, notice| now < notice.deadline + memory);
        let mut fresh = Vec::new();
        for notice in notices {
            self.last_notice = self.last_notice.max(notice.number);
            if now >= notice.deadline + memory {
                continue;
            }
            let known = self.notices.get(&notice.host);
            if known.is_none_or(|known| known.incarnation < notice.incarnation) {
                self.notices.insert(notice.host.clone(), notice.clone());
                fresh.push(notice);
            }
        }
        fresh
    }

    /// Returns whether both lists were read after `since`.
    pub(super) fn is_known(&self, since: Timestamp) -> bool {
        let known = |at: Option<Timestamp>| at.is_some_and(|at| at >= since);
        known(self.listed_at) && known(self.cloud_at)
    }

    /// Returns whether both lists are young enough at `now` to order hosts by them.
    pub(super) fn is_current(&self, now: Timestamp, limits: &ControlLimits) -> bool {
        let current =
            |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) <= limits.max_list_age);
        current(self.listed_at) && current(self.cloud_at)
    }

    /// Returns whether a host of `zone` is starting.
    pub(super) fn has_starting(&self, zone: &str) -> bool {
        let starts = |ordered: &OrderedHost| {
            let host = &ordered.host;
            host.order.zone == zone && host.state == HostState::Starting && self.stays(host)
        };
        self.cloud.values().any(starts)
    }

    /// Returns whether the host will be taken back.
    pub(super) fn is_noticed(&self, name: &HostName) -> bool {
        let Some(notice) = self.notices.get(name) else {
            return false;
        };
        let listed = self.servers.get(name);
        listed.is_none_or(|host| host.incarnation <= notice.incarnation)
    }

    /// Returns the zone of a host.
    pub(super) fn zone(&self, name: &HostName) -> Option<&str> {
        let ordered = self.cloud.get(name);
        let ordered = ordered.map(|ordered| ordered.host.order.zone.as_str());
        ordered.or_else(|| self.servers.get(name).map(|host| host.zone.as_str()))
    }

    /// Returns whether a host of the cloud API stays.
    pub(super) fn stays(&self, host: &CloudHost) -> bool {
        let is_up = matches!(host.state, HostState::Starting | HostState::Running);
        is_up && !self.is_noticed(&host.name)
    }

    /// Returns the servers of the host list that stay.
    pub(super) fn staying_servers(&self) -> impl Iterator<Item = &ListedHost> {
        let leaves = |host: &ListedHost| {
            let ordered = self.cloud.get(&host.name);
            let ordered = ordered.is_some_and(|ordered| !self.stays(&ordered.host));
            host.leaving || ordered || self.is_noticed(&host.name)
        };
        self.servers.values().filter(move |host| !leaves(host))
    }

    /// Returns the row of a service.
    pub(super) fn row(&self, service: &str) -> Option<&ServiceRow> {
        self.table.as_ref()?.service(service)
    }

    /// Returns whether most reports of a service's servers miss the target between two tokens.
    pub(super) fn is_at_risk(&self, row: &ServiceRow) -> bool {
        let Some(target) = row.token_gap_target else {
            return false;
        };
        let mut reported = 0;
        let mut late = 0;
        for host in self.staying_servers().filter(|h| h.service == row.name) {
            let Some(dated) = self.reports.get(&host.name) else {
                continue;
            };
            reported += 1;
            late += u32::from(u128::from(dated.report.token_gap_micros) > target.as_micros());
        }
        reported > 0 && late * 2 > reported
    }
}
