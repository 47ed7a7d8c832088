//! Which slots of a service are taken.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_core::port::HostState;
use teaselglade_core::table::ServiceRow;

use super::fleet_view::{FleetView, OrderedHost};

/// Host that keeps a slot.
#[derive(Debug)]
struct SlotKeeper {
    name: HostName,
    generation: u32,
    cents_per_hour: f64,
    runs: bool,
}

/// One slot as the cloud API shows it.
#[derive(Debug, Default)]
struct SlotState {
    /// Highest generation that was ever seen.
    generation: u32,
    keeper: Option<SlotKeeper>,
}

/// Which slots of a service are taken, and what its hosts cost.
#[derive(Debug)]
pub(super) struct ServiceRoster<'a> {
    /// Row of the service.
    pub(super) row: &'a ServiceRow,
    slots: BTreeMap<u32, SlotState>,
    /// Hosts beyond their slot's keeper or outside of what the row permits.
    misfits: Vec<HostName>,
    /// Number of slots that hosts should keep.
    wanted: u32,
    /// Price of all hosts that stay, in euro cents an hour.
    pub(super) cents_per_hour: f64,
}

impl<'a> ServiceRoster<'a> {
    /// Counts the hosts of every service of the table.
    pub(super) fn all(view: &'a FleetView) -> BTreeMap<&'a str, Self> {
        let rows = view.table.iter().flat_map(|table| &table.services);
        let rosters = rows.map(|row| (row.name.as_str(), Self::new(row)));
        let mut rosters = rosters.collect::<BTreeMap<_, _>>();
        for ordered in view.cloud.values() {
            if let Some(roster) = rosters.get_mut(ordered.host.order.service.as_str()) {
                roster.add(view, ordered);
            }
        }
        let unordered = view.staying_servers();
        for host in unordered.filter(|host| !view.cloud.contains_key(&host.name)) {
            if let Some(roster) = rosters.get_mut(host.service.as_str()) {
                roster.add_foreign(host.cents_per_hour);
            }
        }
        rosters
    }

    fn new(row: &'a ServiceRow) -> Self {
        Self {
            row,
            slots: BTreeMap::new(),
            misfits: Vec::new(),
            wanted: row.min_servers,
            cents_per_hour: 0.0,
        }
    }

    /// Returns the slots that no host keeps, with the generation to order next.
    pub(super) fn missing(&self) -> impl Iterator<Item = (u32, u32)> {
        (0..self.wanted).filter_map(|slot| match self.slots.get(&slot) {
            None => Some((slot, 1)),
            Some(state) if state.keeper.is_none() => Some((slot, state.generation + 1)),
            Some(_) => None,
        })
    }

    /// Returns the hosts that are not needed or that cost more than the row allows.
    ///
    /// Hosts that the row no longer permits stay until every slot has a running host.
    pub(super) fn surplus(&self) -> Vec<HostName> {
        let beyond = self.slots.range(self.wanted..);
        let beyond = beyond.filter_map(|(_, state)| state.keeper.as_ref());
        let beyond = beyond.collect::<Vec<_>>();
        let leaving = beyond.iter().map(|k| k.cents_per_hour).sum::<f64>();
        let beyond = beyond.into_iter().chain(self.unpaid(leaving));
        let mut surplus = beyond.map(|k| k.name.clone()).collect::<Vec<_>>();
        let runs = |slot: u32| {
            let keeper = self.slots.get(&slot).and_then(|s| s.keeper.as_ref());
            keeper.is_some_and(|keeper| keeper.runs)
        };
        if (0..self.wanted).all(runs) {
            surplus.extend(self.misfits.iter().cloned());
        }
        surplus
    }

    /// Returns the dearest hosts, until the others cost no more than the row allows.
    ///
    /// An order that takes effect long after its answer was lost can bring a dearer host than the
    /// planner reckoned with.
    fn unpaid(&self, leaving: f64) -> Vec<&SlotKeeper> {
        let limit = self.row.max_spend_cents_per_hour;
        let mut excess = limit.map_or(0.0, |limit| self.cents_per_hour - leaving - limit);
        let kept = self.slots.range(..self.wanted);
        let mut kept = kept
            .filter_map(|(_, state)| state.keeper.as_ref())
            .collect::<Vec<_>>();
        kept.sort_by(|a, b| b.cents_per_hour.total_cmp(&a.cents_per_hour));
        let mut unpaid = Vec::new();
        for keeper in kept {
            if excess <= 0.0 {
                break;
            }
            excess -= keeper.cents_per_hour;
            unpaid.push(keeper);
        }
        unpaid
    }

    fn add_foreign(&mut self, cents_per_hour: f64) {
        self.wanted = self.wanted.saturating_sub(1);
        self.cents_per_hour += cents_per_hour;
    }

    fn add(&mut self, view: &FleetView, ordered: &OrderedHost) {
        let host = &ordered.host;
        let Some(slot) = &ordered.slot else {
            if view.stays(host) {
                self.add_foreign(host.cents_per_hour);
            }
            return;
        };
        let state = self.slots.entry(slot.slot).or_default();
        state.generation = state.generation.max(slot.generation);
        if !view.stays(host) {
            return;
        }
        self.cents_per_hour += host.cents_per_hour;
        let order = &host.order;
        if !self
            .row
            .permits(&order.class, &order.zone, host.cents_per_hour)
        {
            self.misfits.push(host.name.clone());
            return;
        }
        let keeper = SlotKeeper {
            name: host.name.clone(),
            generation: slot.generation,
            cents_per_hour: host.cents_per_hour,
            runs: host.state == HostState::Running,
        };
        match &state.keeper {
            Some(kept) if kept.generation <= keeper.generation => self.misfits.push(keeper.name),
            _ => {
                let beaten = state.keeper.replace(keeper);
                self.misfits.extend(beaten.map(|beaten| beaten.name));
            }
        }
    }
}
