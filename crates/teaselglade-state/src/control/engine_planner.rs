//! Brings each engine to its desired state.

use std::collections::{BTreeMap, BTreeSet};

use teaselglade_core::id::HostName;
use teaselglade_core::port::{EngineError, EngineGoal, EngineStatus, ListedHost};
use teaselglade_core::table::ServiceKind;
use teaselglade_core::time::Timestamp;

use super::engine_record::{EngineChange, EngineRecord};
use super::fleet_view::FleetView;
use super::weight_reservations::WeightReservations;
use super::{ControlAction, ControlLimits, ControlTerm, EngineProfile};

/// Inputs of one planning round for engines.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineContext<'a> {
    pub(super) now: Timestamp,
    pub(super) term: ControlTerm,
    /// Time at which the lease was gained.
    pub(super) gained_at: Timestamp,
    pub(super) zone: &'a str,
    pub(super) view: &'a FleetView,
    pub(super) draining: &'a BTreeSet<HostName>,
    pub(super) limits: &'a ControlLimits,
}

/// Brings each engine of one zone to its desired state.
#[derive(Debug, Default)]
pub(super) struct EnginePlanner {
    profiles: Vec<EngineProfile>,
    engines: BTreeMap<HostName, EngineRecord>,
    reservations: WeightReservations,
}

impl EnginePlanner {
    pub(super) fn new(profiles: Vec<EngineProfile>) -> Self {
        Self {
            profiles,
            ..Self::default()
        }
    }

    /// Clears all engine state; a new lease holder relies only on what it reads itself.
    pub(super) fn reset(&mut self) {
        self.engines.clear();
        self.reservations.reset();
    }

    /// Returns the time since which an engine is known to be draining.
    pub(super) fn draining_since(&self, host: &HostName) -> Option<Timestamp> {
        self.engines.get(host)?.draining_since
    }

    /// Returns the engines' reservations at the weight store.
    pub(super) const fn reservations(&mut self) -> &mut WeightReservations {
        &mut self.reservations
    }

    /// Records a state that was read.
    ///
    /// Returns the change made by an order whose response was lost, if the state shows it.
    pub(super) fn record_read(
        &mut self,
        now: Timestamp,
        host: &HostName,
        result: Result<EngineStatus, EngineError>,
    ) -> Option<EngineChange> {
        let engine = self.engines.get_mut(host)?;
        engine.in_flight = false;
        let Ok(status) = result else {
            engine.status = None;
            return None;
        };
        let pending = engine.pending_change.take();
        let applied = pending.filter(|change| change.to == status.goal);
        engine.update_status(now, status);
        applied
    }

    /// Records the result of an order and returns the change that it made.
    pub(super) fn record_order(
        &mut self,
        now: Timestamp,
        host: &HostName,
        result: Result<EngineStatus, EngineError>,
    ) -> Option<EngineChange> {
        let engine = self.engines.get_mut(host)?;
        engine.in_flight = false;
        // The state is read back after every order, whatever its result.
        engine.next_read = now;
        let pending = engine.pending_change.take();
        match result {
            Ok(status) => {
                engine.confirmed_goal = Some(status.goal.clone());
                engine.update_status(now, status);
                self.reservations.clear(host);
                pending.filter(|change| change.from.as_ref() != Some(&change.to))
            }
            Err(EngineError::Fenced) => {
                engine.rejected_number = true;
                None
            }
            Err(EngineError::Unknown { .. }) => {
                engine.pending_change = pending;
                engine.status = None;
                None
            }
        }
    }

    /// Returns the calls to make now.
    pub(super) fn plan(&mut self, context: EngineContext<'_>) -> Vec<ControlAction> {
        let hosts = model_hosts(context.view, context.zone);
        self.sync_engines(&hosts);
        let goals = self.goals(context, &hosts);
        let in_flight = self.engines.values().filter(|e| e.in_flight).count();
        let mut free_calls = context
            .limits
            .max_engine_calls_in_flight
            .saturating_sub(in_flight);
        let mut actions = Vec::new();
        for host in hosts {
            if free_calls == 0 {
                break;
            }
            let Some(goal) = goals.get(&host.name) else {
                continue;
            };
            if let Some(action) = self.plan_engine(context, host, goal) {
                free_calls -= 1;
                actions.push(action);
            }
        }
        actions
    }

    /// Adds engines of new or restarted hosts and removes those of hosts that are gone.
    fn sync_engines(&mut self, hosts: &[&ListedHost]) {
        let names = hosts.iter().map(|host| &host.name).collect::<BTreeSet<_>>();
        self.engines.retain(|name, _| names.contains(name));
        self.reservations.retain(&names);
        for host in hosts {
            let known = self.engines.get(&host.name);
            if known.is_none_or(|known| known.incarnation != host.incarnation) {
                let record = EngineRecord::new(host.address, host.incarnation);
                self.engines.insert(host.name.clone(), record);
            }
        }
    }

    fn plan_engine(
        &mut self,
        context: EngineContext<'_>,
        host: &ListedHost,
        goal: &EngineGoal,
    ) -> Option<ControlAction> {
        let supports_fencing = context
            .view
            .row(&host.service)
            .is_some_and(|row| row.fenced);
        let engine = self.engines.get_mut(&host.name)?;
        if engine.in_flight {
            return None;
        }
        if context.now >= engine.next_read {
            engine.in_flight = true;
            engine.next_read = context.now + read_interval(supports_fencing, context.limits);
            return Some(ControlAction::ReadEngine {
                host: host.name.clone(),
                address: engine.address,
            });
        }
        let status = engine.status.as_ref()?;
        let number = context.term.number.0;
        // Once an engine with fencing has this number, it rejects orders of earlier lease holders.
        let is_settled = status.goal == *goal && (!supports_fencing || status.number == number);
        let must_wait = !supports_fencing
            && context.now.since(context.gained_at) < context.limits.unfenced_wait;
        if is_settled {
            engine.confirmed_goal = Some(goal.clone());
            return None;
        }
        if must_wait || engine.rejected_number {
            return None;
        }
        let reservations = &mut self.reservations;
        let missing = engine.missing_item(goal, |item| reservations.is_granted(&host.name, item));
        if let Some(item) = missing {
            let item = item.to_owned();
            let is_started = reservations.start(context.now, &host.name, &item);
            return is_started.then_some(ControlAction::Reserve { item });
        }
        engine.in_flight = true;
        engine.pending_change = Some(engine.change_to(goal.clone()));
        Some(ControlAction::OrderEngine {
            host: host.name.clone(),
            address: engine.address,
            order: EngineStatus {
                number,
                goal: goal.clone(),
            },
        })
    }

    fn goals(
        &self,
        context: EngineContext<'_>,
        hosts: &[&ListedHost],
    ) -> BTreeMap<HostName, EngineGoal> {
        let mut by_service = BTreeMap::<&str, Vec<&ListedHost>>::new();
        for host in hosts {
            by_service.entry(&host.service).or_default().push(host);
        }
        let mut goals = BTreeMap::new();
        for (service, hosts) in by_service {
            let profile = self.profiles.iter().find(|p| p.service == service);
            let profile = profile.cloned();
            let profile = profile.unwrap_or_else(|| EngineProfile::of_service(service));
            let roles = self.roles(&profile, &hosts);
            for (host, role) in hosts.iter().zip(roles) {
                let goal = EngineGoal {
                    drain: context.draining.contains(&host.name),
                    model: Some(profile.model.clone()),
                    adapters: profile.adapters.clone(),
                    role,
                };
                goals.insert(host.name.clone(), goal);
            }
        }
        goals
    }

    /// Assigns a role to each host; hosts keep their current role while it is still needed.
    fn roles(&self, profile: &EngineProfile, hosts: &[&ListedHost]) -> Vec<Option<String>> {
        let mut roles = vec![None; hosts.len()];
        for share in &profile.roles {
            let has_role = |host: &ListedHost| {
                let status = self.engines.get(&host.name).and_then(|e| e.status.as_ref());
                status.and_then(|status| status.goal.role.as_deref()) == Some(share.role.as_str())
            };
            let mut indices = (0..hosts.len()).filter(|i| roles[*i].is_none());
            let mut indices = indices.by_ref().collect::<Vec<_>>();
            indices.sort_by_key(|index| !has_role(hosts[*index]));
            for index in indices.into_iter().take(share.servers) {
                roles[index] = Some(share.role.clone());
            }
        }
        let default_role = || profile.default_role.clone();
        roles
            .into_iter()
            .map(|role| role.or_else(default_role))
            .collect()
    }
}

/// Returns the staying hosts of a zone that run engines, ordered by name.
fn model_hosts<'a>(view: &'a FleetView, zone: &str) -> Vec<&'a ListedHost> {
    let is_model = |host: &&ListedHost| {
        let row = view.row(&host.service);
        row.is_some_and(|row| row.kind == ServiceKind::Model)
    };
    let local = view.staying_servers().filter(|host| host.zone == zone);
    local.filter(is_model).collect()
}

const fn read_interval(supports_fencing: bool, limits: &ControlLimits) -> std::time::Duration {
    if supports_fencing {
        limits.fenced_interval
    } else {
        limits.unfenced_interval
    }
}
