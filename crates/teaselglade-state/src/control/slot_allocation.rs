//! Occupied and missing slots of a service.

use std::collections::BTreeMap;

use teaselglade_core::id::HostName;
use teaselglade_core::port::HostState;
use teaselglade_core::table::ServiceRow;

use super::fleet_view::{FleetView, OrderedHost};

/// Host that occupies a slot.
#[derive(Debug)]
struct SlotOccupant {
    name: HostName,
    generation: u32,
    cents_per_hour: f64,
    is_running: bool,
}

/// State of one slot according to the cloud API.
#[derive(Debug, Default)]
struct SlotUsage {
    /// Highest generation among the listed hosts of the slot.
    generation: u32,
    occupant: Option<SlotOccupant>,
}

/// Occupied and missing slots of a service, and the price of its hosts.
#[derive(Debug)]
pub(super) struct SlotAllocation<'a> {
    /// Routing table row of the service.
    pub(super) row: &'a ServiceRow,
    slots: BTreeMap<u32, SlotUsage>,
    /// Hosts whose slot has another occupant, or that the row no longer permits.
    excess: Vec<HostName>,
    /// Number of slots that should be occupied.
    desired: u32,
    /// Total price of all staying hosts, in euro cents per hour.
    pub(super) cents_per_hour: f64,
}

impl<'a> SlotAllocation<'a> {
    /// Computes the allocation of every service in the table, by service name.
    pub(super) fn for_all_services(view: &'a FleetView) -> BTreeMap<&'a str, Self> {
        let rows = view.table.iter().flat_map(|table| &table.services);
        let allocations = rows.map(|row| (row.name.as_str(), Self::new(row)));
        let mut allocations = allocations.collect::<BTreeMap<_, _>>();
        for ordered in view.cloud_hosts.values() {
            if let Some(allocation) = allocations.get_mut(ordered.host.order.service.as_str()) {
                allocation.add_host(view, ordered);
            }
        }
        let unmanaged = view.staying_servers();
        for host in unmanaged.filter(|host| !view.cloud_hosts.contains_key(&host.name)) {
            if let Some(allocation) = allocations.get_mut(host.service.as_str()) {
                allocation.add_unmanaged(host.cents_per_hour);
            }
        }
        allocations
    }

    fn new(row: &'a ServiceRow) -> Self {
        Self {
            row,
            slots: BTreeMap::new(),
            excess: Vec::new(),
            desired: row.min_servers,
            cents_per_hour: 0.0,
        }
    }

    /// Returns the slots without an occupant, each with the generation to order next.
    pub(super) fn missing(&self) -> impl Iterator<Item = (u32, u32)> {
        (0..self.desired).filter_map(|slot| match self.slots.get(&slot) {
            None => Some((slot, 1)),
            Some(usage) if usage.occupant.is_none() => Some((slot, usage.generation + 1)),
            Some(_) => None,
        })
    }

    /// Returns the hosts that are not needed or that exceed the spending limit.
    ///
    /// Hosts that the row no longer permits are kept until every slot has a running host.
    pub(super) fn surplus(&self) -> Vec<HostName> {
        let extra = self.slots.range(self.desired..);
        let extra = extra.filter_map(|(_, usage)| usage.occupant.as_ref());
        let extra = extra.collect::<Vec<_>>();
        let leaving_cents = extra.iter().map(|o| o.cents_per_hour).sum::<f64>();
        let extra = extra.into_iter().chain(self.over_budget(leaving_cents));
        let mut surplus = extra.map(|o| o.name.clone()).collect::<Vec<_>>();
        let is_running = |slot: u32| {
            let occupant = self.slots.get(&slot).and_then(|s| s.occupant.as_ref());
            occupant.is_some_and(|occupant| occupant.is_running)
        };
        if (0..self.desired).all(is_running) {
            surplus.extend(self.excess.iter().cloned());
        }
        surplus
    }

    /// Returns the most expensive hosts, without which the others stay within the spending limit.
    ///
    /// An order that takes effect long after its response was lost can exceed the limit, as its
    /// host may be more expensive than the planner expected.
    fn over_budget(&self, leaving_cents: f64) -> Vec<&SlotOccupant> {
        let limit = self.row.max_spend_cents_per_hour;
        let mut excess_cents =
            limit.map_or(0.0, |limit| self.cents_per_hour - leaving_cents - limit);
        let kept = self.slots.range(..self.desired);
        let mut kept = kept
            .filter_map(|(_, usage)| usage.occupant.as_ref())
            .collect::<Vec<_>>();
        kept.sort_by(|a, b| b.cents_per_hour.total_cmp(&a.cents_per_hour));
        let mut over_budget = Vec::new();
        for occupant in kept {
            if excess_cents <= 0.0 {
                break;
            }
            excess_cents -= occupant.cents_per_hour;
            over_budget.push(occupant);
        }
        over_budget
    }

    /// Counts a staying host of the service that has no slot; one slot fewer is desired.
    fn add_unmanaged(&mut self, cents_per_hour: f64) {
        self.desired = self.desired.saturating_sub(1);
        self.cents_per_hour += cents_per_hour;
    }

    fn add_host(&mut self, view: &FleetView, ordered: &OrderedHost) {
        let host = &ordered.host;
        let Some(slot) = &ordered.slot else {
            if view.is_staying(host) {
                self.add_unmanaged(host.cents_per_hour);
            }
            return;
        };
        let usage = self.slots.entry(slot.slot).or_default();
        usage.generation = usage.generation.max(slot.generation);
        if !view.is_staying(host) {
            return;
        }
        self.cents_per_hour += host.cents_per_hour;
        let order = &host.order;
        if !self
            .row
            .permits(&order.class, &order.zone, host.cents_per_hour)
        {
            self.excess.push(host.name.clone());
            return;
        }
        let occupant = SlotOccupant {
            name: host.name.clone(),
            generation: slot.generation,
            cents_per_hour: host.cents_per_hour,
            is_running: host.state == HostState::Running,
        };
        match &usage.occupant {
            Some(kept) if kept.generation <= occupant.generation => self.excess.push(occupant.name),
            _ => {
                let replaced = usage.occupant.replace(occupant);
                self.excess.extend(replaced.map(|replaced| replaced.name));
            }
        }
    }
}
