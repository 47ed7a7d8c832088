//! State of the fleet as the control role knows it.

use std::collections::{BTreeMap, BTreeSet};

use teaselglade_core::id::HostName;
use teaselglade_core::port::{
    CloudHost, HostState, ListedHost, ListedRole, ReclaimNotice, ServerReport,
};
use teaselglade_core::table::{RoutingTable, ServiceRow};
use teaselglade_core::time::Timestamp;

use super::{ControlLimits, HostSlot};

/// Load report with the time just before it was requested.
#[derive(Debug, Clone)]
pub(super) struct DatedReport {
    pub(super) requested_at: Timestamp,
    pub(super) report: ServerReport,
}

/// Host of the cloud API with the slot that its order token encodes.
#[derive(Debug, Clone)]
pub(super) struct OrderedHost {
    pub(super) host: CloudHost,
    pub(super) slot: Option<HostSlot>,
}

/// State of the fleet as the control role knows it; every part may be stale.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    pub(super) table: Option<RoutingTable>,
    /// Servers of the host list, by name.
    pub(super) servers: BTreeMap<HostName, ListedHost>,
    /// Zones with an entry host that is not leaving.
    pub(super) entry_zones: BTreeSet<String>,
    /// Time at which the host list was requested.
    pub(super) hosts_requested_at: Option<Timestamp>,
    pub(super) cloud_hosts: BTreeMap<HostName, OrderedHost>,
    /// Time at which the list of cloud hosts was requested.
    pub(super) cloud_requested_at: Option<Timestamp>,
    pub(super) notices: BTreeMap<HostName, ReclaimNotice>,
    pub(super) last_notice_number: u64,
    pub(super) reports: BTreeMap<HostName, DatedReport>,
}

impl FleetView {
    /// Replaces the host list, unless a later one is known.
    pub(super) fn update_hosts(&mut self, requested_at: Timestamp, hosts: Vec<ListedHost>) {
        if self.hosts_requested_at.is_some_and(|at| at > requested_at) {
            return;
        }
        self.hosts_requested_at = Some(requested_at);
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

    /// Replaces the list of cloud hosts, unless a later one is known.
    pub(super) fn update_cloud_hosts(&mut self, requested_at: Timestamp, hosts: Vec<CloudHost>) {
        if self.cloud_requested_at.is_some_and(|at| at > requested_at) {
            return;
        }
        self.cloud_requested_at = Some(requested_at);
        let ordered = hosts.into_iter().map(|host| {
            let slot = HostSlot::parse(&host.order.token);
            (host.name.clone(), OrderedHost { host, slot })
        });
        self.cloud_hosts = ordered.collect();
    }

    /// Adds reclaim notices and returns those that are new and have not expired.
    pub(super) fn add_notices(
        &mut self,
        now: Timestamp,
        notices: Vec<ReclaimNotice>,
        limits: &ControlLimits,
    ) -> Vec<ReclaimNotice> {
        let retention = limits.notice_retention;
        self.notices
            .retain(|_, notice| now < notice.deadline + retention);
        let mut fresh = Vec::new();
        for notice in notices {
            self.last_notice_number = self.last_notice_number.max(notice.number);
            if now >= notice.deadline + retention {
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

    /// Returns whether both host lists were requested at `since` or later.
    pub(super) fn was_read_since(&self, since: Timestamp) -> bool {
        let was_read = |at: Option<Timestamp>| at.is_some_and(|at| at >= since);
        was_read(self.hosts_requested_at) && was_read(self.cloud_requested_at)
    }

    /// Returns whether both host lists are recent enough to order and release hosts by.
    pub(super) fn is_fresh(&self, now: Timestamp, limits: &ControlLimits) -> bool {
        let is_recent =
            |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) <= limits.max_list_age);
        is_recent(self.hosts_requested_at) && is_recent(self.cloud_requested_at)
    }

    /// Returns whether a host of `zone` is starting.
    pub(super) fn has_starting_host(&self, zone: &str) -> bool {
        let is_starting = |ordered: &OrderedHost| {
            let host = &ordered.host;
            host.order.zone == zone && host.state == HostState::Starting && self.is_staying(host)
        };
        self.cloud_hosts.values().any(is_starting)
    }

    /// Returns whether a reclaim notice applies to the host.
    pub(super) fn has_reclaim_notice(&self, name: &HostName) -> bool {
        let Some(notice) = self.notices.get(name) else {
            return false;
        };
        let listed = self.servers.get(name);
        listed.is_none_or(|host| host.incarnation <= notice.incarnation)
    }

    /// Returns the zone of a host.
    pub(super) fn zone(&self, name: &HostName) -> Option<&str> {
        let ordered = self.cloud_hosts.get(name);
        let ordered = ordered.map(|ordered| ordered.host.order.zone.as_str());
        ordered.or_else(|| self.servers.get(name).map(|host| host.zone.as_str()))
    }

    /// Returns whether a host of the cloud API is up and has no reclaim notice.
    pub(super) fn is_staying(&self, host: &CloudHost) -> bool {
        let is_up = matches!(host.state, HostState::Starting | HostState::Running);
        is_up && !self.has_reclaim_notice(&host.name)
    }

    /// Returns the listed servers that are neither leaving nor about to be reclaimed.
    pub(super) fn staying_servers(&self) -> impl Iterator<Item = &ListedHost> {
        let is_leaving = |host: &ListedHost| {
            let ordered = self.cloud_hosts.get(&host.name);
            let ordered = ordered.is_some_and(|ordered| !self.is_staying(&ordered.host));
            host.leaving || ordered || self.has_reclaim_notice(&host.name)
        };
        self.servers.values().filter(move |host| !is_leaving(host))
    }

    /// Returns the routing table row of a service.
    pub(super) fn row(&self, service: &str) -> Option<&ServiceRow> {
        self.table.as_ref()?.service(service)
    }

    /// Returns whether most load reports of a service's servers exceed its token gap target.
    pub(super) fn misses_token_gap_target(&self, row: &ServiceRow) -> bool {
        let Some(target) = row.token_gap_target else {
            return false;
        };
        let mut reported = 0;
        let mut missed = 0;
        for host in self.staying_servers().filter(|h| h.service == row.name) {
            let Some(dated) = self.reports.get(&host.name) else {
                continue;
            };
            reported += 1;
            missed += u32::from(u128::from(dated.report.token_gap_micros) > target.as_micros());
        }
        reported > 0 && missed * 2 > reported
    }
}
