//! Drains hosts that are not needed and gives them back.

use std::collections::{BTreeMap, BTreeSet};

use teaselglade_core::id::HostName;
use teaselglade_core::port::HostState;
use teaselglade_core::table::ServiceKind;
use teaselglade_core::time::Timestamp;

use super::ControlLimits;
use super::absent_watch::AbsentWatch;
use super::engine_planner::EnginePlanner;
use super::fleet_view::FleetView;
use super::service_roster::ServiceRoster;
use super::slot_planner::SlotStep;

/// Drains hosts that are not needed and gives them back once they are idle.
#[derive(Debug, Default)]
pub(super) struct RemovalPlanner {
    draining: BTreeSet<HostName>,
    released: BTreeMap<HostName, Timestamp>,
    absent: AbsentWatch,
}

impl RemovalPlanner {
    /// Forgets all releases; a new holder of the lease knows only what it reads.
    pub(super) fn reset(&mut self) {
        self.draining.clear();
        self.released.clear();
        self.absent = AbsentWatch::default();
    }

    /// Returns the hosts that take no new work.
    pub(super) const fn draining(&self) -> &BTreeSet<HostName> {
        &self.draining
    }

    /// Notes that a release was answered or given up; the next list of hosts decides.
    pub(super) fn note_answer(&mut self, now: Timestamp, host: &HostName) {
        self.released.insert(host.clone(), now);
    }

    /// Notes that the cloud API's hosts were read; releases before are shown by them.
    pub(super) fn note_cloud(&mut self, requested_at: Timestamp) {
        self.released.retain(|_, at| *at >= requested_at);
    }

    /// Returns whether a host is to be drained or given back.
    pub(super) fn has_work(&self, step: SlotStep<'_>) -> bool {
        self.absent.is_due(step.now) || !surplus(step).is_empty()
    }

    /// Returns the hosts to give back now.
    pub(super) fn plan(
        &mut self,
        step: SlotStep<'_>,
        engines: &EnginePlanner,
        limits: &ControlLimits,
    ) -> Vec<HostName> {
        let SlotStep {
            now, zone, view, ..
        } = step;
        self.draining = surplus(step);
        let idle = self.draining.iter();
        let idle = idle.filter(|name| is_idle(name, view, engines)).cloned();
        let mut done = idle.collect::<Vec<_>>();
        done.extend(self.absent.plan(now, zone, view, limits));
        done.retain(|name| !self.released.contains_key(name));
        for name in &done {
            // A release without an answer is shown by the list of hosts as well.
            self.released.insert(name.clone(), now);
        }
        done
    }
}

/// Returns the hosts of the step's zone that no row needs.
fn surplus(step: SlotStep<'_>) -> BTreeSet<HostName> {
    let SlotStep { zone, view, .. } = step;
    // Plain servers cannot be drained, so they are never given back.
    let rosters = step.rosters.values();
    let rosters = rosters.filter(|roster| roster.row.kind == ServiceKind::Model);
    let unneeded = rosters.flat_map(ServiceRoster::surplus);
    let is_here = |name: &HostName| {
        let ordered = view.cloud.get(name);
        ordered.is_some_and(|o| o.host.order.zone == zone && view.stays(&o.host))
    };
    unneeded.filter(is_here).collect()
}

/// Returns whether a host has no work and will get none.
fn is_idle(name: &HostName, view: &FleetView, engines: &EnginePlanner) -> bool {
    if !view.servers.contains_key(name) {
        // A host that is not listed yet has never had work.
        let ordered = view.cloud.get(name);
        return ordered.is_some_and(|o| o.host.state == HostState::Starting);
    }
    let (Some(drained), Some(dated)) = (engines.drained_since(name), view.reports.get(name)) else {
        return false;
    };
    dated.requested_at > drained && dated.report.running == 0 && dated.report.waiting == 0
}
