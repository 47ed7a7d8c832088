//! Orders hosts for slots that no host keeps.

use std::collections::BTreeMap;

use teaselglade_core::port::{CloudError, CloudHost, HostOrder, HostState};
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

use super::fleet_view::FleetView;
use super::offer_market::{OfferMarket, OfferNeed};
use super::service_roster::ServiceRoster;
use super::{ControlLimits, HostSlot};

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderStage {
    InFlight,
    /// Answered at this time; the next list of hosts decides.
    Settled(Timestamp),
    /// Given up at this time; the next list of hosts tells whether it took effect.
    Unknown(Timestamp),
}

/// Order whose host the list of hosts does not show yet.
#[derive(Debug, Clone)]
struct OpenOrder {
    slot: HostSlot,
    order: HostOrder,
    cents_per_hour: f64,
    stage: OrderStage,
}

/// What planning of hosts needs to know at one step.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotStep<'a> {
    pub(super) now: Timestamp,
    pub(super) zone: &'a str,
    pub(super) view: &'a FleetView,
    pub(super) rosters: &'a BTreeMap<&'a str, ServiceRoster<'a>>,
    pub(super) market: &'a OfferMarket,
}

/// Orders hosts for slots that no host keeps.
#[derive(Debug, Default)]
pub(super) struct SlotPlanner {
    open: BTreeMap<String, OpenOrder>,
    /// Generations known to be used up though the list of hosts does not show them.
    used_up: BTreeMap<(String, u32), u32>,
}

impl SlotPlanner {
    /// Forgets all open orders; a new holder of the lease knows only what it reads.
    pub(super) fn reset(&mut self) {
        self.open.clear();
    }

    /// Notes that the cloud API's hosts were read; orders settled before are shown by them.
    ///
    /// Returns the hosts of orders whose answer was lost.
    pub(super) fn note_cloud(
        &mut self,
        requested_at: Timestamp,
        view: &FleetView,
    ) -> Vec<CloudHost> {
        let mut found = Vec::new();
        self.open.retain(|_, open| match open.stage {
            OrderStage::InFlight => true,
            OrderStage::Settled(at) => at >= requested_at,
            OrderStage::Unknown(at) => {
                if at < requested_at {
                    found.extend(find_host(view, &open.slot).cloned());
                }
                at >= requested_at
            }
        });
        found
    }

    /// Notes an answer and returns the order that it answers.
    pub(super) fn note_answer(
        &mut self,
        now: Timestamp,
        token: &str,
        result: &Result<CloudHost, CloudError>,
    ) -> Option<HostOrder> {
        let open = self.open.get_mut(token)?;
        open.stage = match result {
            Err(CloudError::Unknown { .. }) => OrderStage::Unknown(now),
            _ => OrderStage::Settled(now),
        };
        let order = open.order.clone();
        match result {
            Ok(host) if matches!(host.state, HostState::Leaving | HostState::Gone) => {
                let slot = open.slot.clone();
                self.used_up
                    .insert((slot.service, slot.slot), slot.generation);
                self.open.remove(token);
            }
            Ok(host) => open.cents_per_hour = host.cents_per_hour,
            Err(CloudError::Refused { .. }) => {
                self.open.remove(token);
            }
            Err(CloudError::Unknown { .. }) => {}
        }
        Some(order)
    }

    /// Returns whether there is an order to make.
    pub(super) fn has_work(&self, step: SlotStep<'_>) -> bool {
        !self.propose(step).is_empty()
    }

    /// Returns the orders to make now.
    pub(super) fn plan(&mut self, step: SlotStep<'_>, limits: &ControlLimits) -> Vec<HostOrder> {
        let mut orders = self.propose(step);
        let in_flight = self.open.values();
        let in_flight = in_flight.filter(|o| o.stage == OrderStage::InFlight);
        orders.truncate(limits.max_open_orders.saturating_sub(in_flight.count()));
        for open in &orders {
            self.open.insert(open.order.token.clone(), open.clone());
        }
        orders.into_iter().map(|open| open.order).collect()
    }

    fn propose(&self, step: SlotStep<'_>) -> Vec<OpenOrder> {
        let mut orders = Vec::new();
        for roster in step.rosters.values() {
            self.plan_service(step, roster, &mut orders);
        }
        orders
    }

    fn plan_service(
        &self,
        step: SlotStep<'_>,
        roster: &ServiceRoster<'_>,
        orders: &mut Vec<OpenOrder>,
    ) {
        let SlotStep {
            now,
            zone,
            view,
            market,
            ..
        } = step;
        let row = roster.row;
        let limit = row.max_spend_cents_per_hour.unwrap_or(f64::INFINITY);
        let mut spent = roster.cents_per_hour + self.open_cents(row, view);
        let at_risk = view.is_at_risk(row);
        for (slot, generation) in roster.missing() {
            let slot = self.next_slot(row, slot, generation);
            if self.is_open(&slot) {
                continue;
            }
            let home = home_zone(view, market, row, slot.slot);
            if home.as_deref() != Some(zone) {
                // Another zone's holder orders it, at this price at most.
                spent += market.highest_price(row);
                continue;
            }
            let need = OfferNeed {
                row,
                home: zone,
                budget: limit - spent,
                at_risk,
            };
            let Some(offer) = market.choose(now, need) else {
                continue;
            };
            spent += offer.cents_per_hour;
            orders.push(OpenOrder {
                order: HostOrder {
                    token: slot.token(),
                    service: row.name.clone(),
                    zone: offer.zone,
                    class: offer.class,
                    purchase: offer.purchase,
                },
                slot,
                cents_per_hour: offer.cents_per_hour,
                stage: OrderStage::InFlight,
            });
        }
    }

    fn next_slot(&self, row: &ServiceRow, slot: u32, generation: u32) -> HostSlot {
        let used_up = self.used_up.get(&(row.name.clone(), slot));
        let generation = used_up.map_or(generation, |used| generation.max(used + 1));
        HostSlot::new(&row.name, slot, generation)
    }

    fn is_open(&self, slot: &HostSlot) -> bool {
        let mut open = self.open.values();
        open.any(|o| o.slot.service == slot.service && o.slot.slot == slot.slot)
    }

    /// Returns the price of open orders whose hosts the list does not show.
    fn open_cents(&self, row: &ServiceRow, view: &FleetView) -> f64 {
        let open = self.open.values();
        let open = open.filter(|open| open.slot.service == row.name);
        let hidden = open.filter(|open| find_host(view, &open.slot).is_none());
        hidden.map(|open| open.cents_per_hour).sum()
    }
}

/// Returns the host that was ordered for a slot.
fn find_host<'a>(view: &'a FleetView, slot: &HostSlot) -> Option<&'a CloudHost> {
    let mut hosts = view.cloud.values();
    let found = hosts.find(|ordered| ordered.slot.as_ref() == Some(slot));
    found.map(|ordered| &ordered.host)
}

/// Returns the zone whose holder orders a slot: spread over the zones that have control.
fn home_zone(
    view: &FleetView,
    market: &OfferMarket,
    row: &ServiceRow,
    slot: u32,
) -> Option<String> {
    let offered = market.zones(row);
    let controlled = offered
        .iter()
        .filter(|zone| view.entry_zones.contains(**zone));
    let mut zones = controlled
        .map(|zone| (*zone).to_owned())
        .collect::<Vec<_>>();
    if zones.is_empty() {
        zones = view.entry_zones.iter().cloned().collect();
    }
    if zones.is_empty() {
        return None;
    }
    // Services start at different zones, so that small ones do not share one.
    let shift = row.name.bytes().map(usize::from).sum::<usize>();
    Some(zones[(slot as usize + shift) % zones.len()].clone())
}
