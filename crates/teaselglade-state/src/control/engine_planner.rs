//! Orders engines until each has its desired state.

use std::collections::{BTreeMap, BTreeSet};

use teaselglade_core::id::HostName;
use teaselglade_core::port::{EngineError, EngineGoal, EngineStatus, ListedHost};
use teaselglade_core::table::ServiceKind;
use teaselglade_core::time::Timestamp;

use super::engine_record::{EngineChange, EngineRecord};
use super::fleet_view::FleetView;
use super::weight_queue::WeightQueue;
use super::{ControlAction, ControlLimits, ControlTerm, EngineProfile};

/// What an engine planner needs to know at one step.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineStep<'a> {
    pub(super) now: Timestamp,
    pub(super) term: ControlTerm,
    /// Time at which the lease was gained.
    pub(super) gained: Timestamp,
    pub(super) zone: &'a str,
    pub(super) view: &'a FleetView,
    pub(super) draining: &'a BTreeSet<HostName>,
    pub(super) limits: &'a ControlLimits,
}

/// Orders the engines of one zone until each has its desired state.
#[derive(Debug, Default)]
pub(super) struct EnginePlanner {
    profiles: Vec<EngineProfile>,
    engines: BTreeMap<HostName, EngineRecord>,
    weights: WeightQueue,
}

impl EnginePlanner {
    pub(super) fn new(profiles: Vec<EngineProfile>) -> Self {
        Self {
            profiles,
            ..Self::default()
        }
    }

    /// Forgets all engines; a new holder of the lease knows only what it reads.
    pub(super) fn reset(&mut self) {
        self.engines.clear();
        self.weights.reset();
    }

    /// Returns since when an engine is known to drain.
    pub(super) fn drained_since(&self, host: &HostName) -> Option<Timestamp> {
        self.engines.get(host)?.drained_since
    }

    /// Returns the engines' queue at the weight store.
    pub(super) const fn weights(&mut self) -> &mut WeightQueue {
        &mut self.weights
    }

    /// Notes a state that was read and returns the change that an order without answer made.
    pub(super) fn note_read(
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
        let unanswered = engine.unanswered.take();
        let made = unanswered.filter(|change| change.to == status.goal);
        engine.note_status(now, status);
        made
    }

    /// Notes the answer to an order and returns the change that it made.
    pub(super) fn note_order(
        &mut self,
        now: Timestamp,
        host: &HostName,
        result: Result<EngineStatus, EngineError>,
    ) -> Option<EngineChange> {
        let engine = self.engines.get_mut(host)?;
        engine.in_flight = false;
        // Every order is read back, whatever its answer.
        engine.next_read = now;
        let ordered = engine.unanswered.take();
        match result {
            Ok(status) => {
                engine.confirmed = Some(status.goal.clone());
                engine.note_status(now, status);
                self.weights.clear(host);
                ordered.filter(|change| change.from.as_ref() != Some(&change.to))
            }
            Err(EngineError::Fenced) => {
                engine.is_fenced = true;
                None
            }
            Err(EngineError::Unknown { .. }) => {
                engine.unanswered = ordered;
                engine.status = None;
                None
            }
        }
    }

    /// Returns the calls to make now.
    pub(super) fn plan(&mut self, step: EngineStep<'_>) -> Vec<ControlAction> {
        let hosts = model_hosts(step.view, step.zone);
        self.sync(&hosts);
        let goals = self.goals(step, &hosts);
        let in_flight = self.engines.values().filter(|e| e.in_flight).count();
        let mut room = step.limits.max_open_engine_calls.saturating_sub(in_flight);
        let mut actions = Vec::new();
        for host in hosts {
            if room == 0 {
                break;
            }
            let Some(goal) = goals.get(&host.name) else {
                continue;
            };
            if let Some(action) = self.plan_engine(step, host, goal) {
                room -= 1;
                actions.push(action);
            }
        }
        actions
    }

    fn sync(&mut self, hosts: &[&ListedHost]) {
        let names = hosts.iter().map(|host| &host.name).collect::<BTreeSet<_>>();
        self.engines.retain(|name, _| names.contains(name));
        self.weights.retain(&names);
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
        step: EngineStep<'_>,
        host: &ListedHost,
        goal: &EngineGoal,
    ) -> Option<ControlAction> {
        let is_fenced_kind = step.view.row(&host.service).is_some_and(|row| row.fenced);
        let engine = self.engines.get_mut(&host.name)?;
        if engine.in_flight {
            return None;
        }
        if step.now >= engine.next_read {
            engine.in_flight = true;
            engine.next_read = step.now + read_interval(is_fenced_kind, step.limits);
            return Some(ControlAction::ReadEngine {
                host: host.name.clone(),
                address: engine.address,
            });
        }
        let status = engine.status.as_ref()?;
        let number = step.term.number.0;
        // A fenced engine that knows the number refuses whatever an older holder still sends.
        let is_settled = status.goal == *goal && (!is_fenced_kind || status.number == number);
        let must_wait = !is_fenced_kind && step.now.since(step.gained) < step.limits.unfenced_wait;
        if is_settled {
            engine.confirmed = Some(goal.clone());
            return None;
        }
        if must_wait || engine.is_fenced {
            return None;
        }
        let weights = &mut self.weights;
        let missing = engine.missing_item(goal, |item| weights.is_granted(&host.name, item));
        if let Some(item) = missing {
            let item = item.to_owned();
            let asks = weights.ask(step.now, &host.name, &item);
            return asks.then_some(ControlAction::Reserve { item });
        }
        engine.in_flight = true;
        engine.unanswered = Some(engine.change_to(goal.clone()));
        Some(ControlAction::OrderEngine {
            host: host.name.clone(),
            address: engine.address,
            order: EngineStatus {
                number,
                goal: goal.clone(),
            },
        })
    }

    fn goals(&self, step: EngineStep<'_>, hosts: &[&ListedHost]) -> BTreeMap<HostName, EngineGoal> {
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
                    drain: step.draining.contains(&host.name),
                    model: Some(profile.model.clone()),
                    adapters: profile.adapters.clone(),
                    role,
                };
                goals.insert(host.name.clone(), goal);
            }
        }
        goals
    }

    /// Gives each host its role; hosts keep the role that they have where it is still needed.
    fn roles(&self, profile: &EngineProfile, hosts: &[&ListedHost]) -> Vec<Option<String>> {
        let mut roles = vec![None; hosts.len()];
        for share in &profile.roles {
            let holds = |host: &ListedHost| {
                let status = self.engines.get(&host.name).and_then(|e| e.status.as_ref());
                status.and_then(|status| status.goal.role.as_deref()) == Some(share.role.as_str())
            };
            let mut order = (0..hosts.len()).filter(|i| roles[*i].is_none());
            let mut order = order.by_ref().collect::<Vec<_>>();
            order.sort_by_key(|index| !holds(hosts[*index]));
            for index in order.into_iter().take(share.servers) {
                roles[index] = Some(share.role.clone());
            }
        }
        let other = || profile.default_role.clone();
        roles.into_iter().map(|role| role.or_else(other)).collect()
    }
}

/// Returns the listed engines of a zone that stay, by name.
fn model_hosts<'a>(view: &'a FleetView, zone: &str) -> Vec<&'a ListedHost> {
    let is_model = |host: &&ListedHost| {
        let row = view.row(&host.service);
        row.is_some_and(|row| row.kind == ServiceKind::Model)
    };
    let here = view.staying_servers().filter(|host| host.zone == zone);
    here.filter(is_model).collect()
}

const fn read_interval(is_fenced_kind: bool, limits: &ControlLimits) -> std::time::Duration {
    if is_fenced_kind {
        limits.fenced_interval
    } else {
        limits.unfenced_interval
    }
}
