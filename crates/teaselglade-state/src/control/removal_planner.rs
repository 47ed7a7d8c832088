//! Drains and releases hosts that are not needed.

use std::collections::{BTreeMap, BTreeSet};

use teaselglade_core::id::HostName;
use teaselglade_core::port::HostState;
use teaselglade_core::table::ServiceKind;
use teaselglade_core::time::Timestamp;

use super::ControlLimits;
use super::absence_tracker::AbsenceTracker;
use super::engine_planner::EnginePlanner;
use super::fleet_view::FleetView;
use super::slot_allocation::SlotAllocation;
use super::slot_planner::HostContext;

/// Drains hosts that are not needed and releases them once they are idle.
#[derive(Debug, Default)]
pub(super) struct RemovalPlanner {
    draining: BTreeSet<HostName>,
    /// Time of each release that the list of cloud hosts may not show yet.
    released: BTreeMap<HostName, Timestamp>,
    absences: AbsenceTracker,
}

impl RemovalPlanner {
    /// Clears all releases; a new lease holder relies only on what it reads itself.
    pub(super) fn reset(&mut self) {
        self.draining.clear();
        self.released.clear();
        self.absences = AbsenceTracker::default();
    }

    /// Returns the hosts to drain, which get no new requests.
    pub(super) const fn draining(&self) -> &BTreeSet<HostName> {
        &self.draining
    }

    /// Records that a release completed or failed; the next list of cloud hosts shows which.
    pub(super) fn record_release(&mut self, now: Timestamp, host: &HostName) {
        self.released.insert(host.clone(), now);
    }

    /// Drops the releases that the list of cloud hosts requested at `requested_at` reflects.
    pub(super) fn update_cloud_hosts(&mut self, requested_at: Timestamp) {
        self.released.retain(|_, at| *at >= requested_at);
    }

    /// Returns whether a host needs to be drained or released.
    pub(super) fn has_work(&self, context: HostContext<'_>) -> bool {
        self.absences.is_due(context.now) || !surplus(context).is_empty()
    }

    /// Returns the hosts to release now.
    pub(super) fn plan(
        &mut self,
        context: HostContext<'_>,
        engines: &EnginePlanner,
        limits: &ControlLimits,
    ) -> Vec<HostName> {
        let HostContext {
            now, zone, view, ..
        } = context;
        self.draining = surplus(context);
        let idle = self.draining.iter();
        let idle = idle.filter(|name| is_idle(name, view, engines)).cloned();
        let mut removable = idle.collect::<Vec<_>>();
        removable.extend(self.absences.plan(now, zone, view, limits));
        removable.retain(|name| !self.released.contains_key(name));
        for name in &removable {
            // The list of cloud hosts also shows the result of a release without a response.
            self.released.insert(name.clone(), now);
        }
        removable
    }
}

/// Returns the hosts of the planner's zone that no row of the table needs.
fn surplus(context: HostContext<'_>) -> BTreeSet<HostName> {
    let HostContext { zone, view, .. } = context;
    // Plain servers cannot be drained, so they are never released.
    let allocations = context.allocations.values();
    let allocations = allocations.filter(|allocation| allocation.row.kind == ServiceKind::Model);
    let unneeded = allocations.flat_map(SlotAllocation::surplus);
    let is_local = |name: &HostName| {
        let ordered = view.cloud_hosts.get(name);
        ordered.is_some_and(|o| o.host.order.zone == zone && view.is_staying(&o.host))
    };
    unneeded.filter(is_local).collect()
}

/// Returns whether a host has no requests and will get none.
fn is_idle(name: &HostName, view: &FleetView, engines: &EnginePlanner) -> bool {
    if !view.servers.contains_key(name) {
        // A starting host that is not listed yet has never received a request.
        let ordered = view.cloud_hosts.get(name);
        return ordered.is_some_and(|o| o.host.state == HostState::Starting);
    }
    let (Some(draining_since), Some(dated)) =
        (engines.draining_since(name), view.reports.get(name))
    else {
        return false;
    };
    dated.requested_at > draining_since && dated.report.running == 0 && dated.report.waiting == 0
}
