//! Orders hosts for slots without an occupant.

use std::collections::BTreeMap;

use teaselglade_core::port::{CloudError, CloudHost, HostOrder, HostState};
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

use super::fleet_view::FleetView;
use super::offer_selector::{OfferRequest, OfferSelector};
use super::slot_allocation::SlotAllocation;
use super::{ControlLimits, HostSlot};

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderStage {
    InFlight,
    /// Completed at this time; a list of cloud hosts requested later shows the host.
    Completed(Timestamp),
    /// Lost its response at this time; a list of cloud hosts requested later shows whether it took
    /// effect.
    Unknown(Timestamp),
}

/// Order whose host the list of cloud hosts may not show yet.
#[derive(Debug, Clone)]
struct OpenOrder {
    slot: HostSlot,
    order: HostOrder,
    cents_per_hour: f64,
    stage: OrderStage,
}

/// Inputs of one planning round for hosts.
#[derive(Debug, Clone, Copy)]
pub(super) struct HostContext<'a> {
    pub(super) now: Timestamp,
    pub(super) zone: &'a str,
    pub(super) view: &'a FleetView,
    pub(super) allocations: &'a BTreeMap<&'a str, SlotAllocation<'a>>,
    pub(super) selector: &'a OfferSelector,
}

/// Orders hosts for slots without an occupant.
#[derive(Debug, Default)]
pub(super) struct SlotPlanner {
    /// Open orders by idempotency token.
    open_orders: BTreeMap<String, OpenOrder>,
    /// Last generation per service and slot whose order returned a host that is leaving or gone.
    ///
    /// The list of cloud hosts may no longer show these hosts.
    used_generations: BTreeMap<(String, u32), u32>,
}

impl SlotPlanner {
    /// Clears all open orders; a new lease holder relies only on what it reads itself.
    pub(super) fn reset(&mut self) {
        self.open_orders.clear();
    }

    /// Drops the orders that the list of cloud hosts requested at `requested_at` reflects.
    ///
    /// Returns the hosts of those orders whose response was lost.
    pub(super) fn update_cloud_hosts(
        &mut self,
        requested_at: Timestamp,
        view: &FleetView,
    ) -> Vec<CloudHost> {
        let mut found = Vec::new();
        self.open_orders.retain(|_, open| match open.stage {
            OrderStage::InFlight => true,
            OrderStage::Completed(at) => at >= requested_at,
            OrderStage::Unknown(at) => {
                if at < requested_at {
                    found.extend(find_host(view, &open.slot).cloned());
                }
                at >= requested_at
            }
        });
        found
    }

    /// Records the result of an order and returns the order.
    pub(super) fn record_result(
        &mut self,
        now: Timestamp,
        token: &str,
        result: &Result<CloudHost, CloudError>,
    ) -> Option<HostOrder> {
        let open = self.open_orders.get_mut(token)?;
        open.stage = match result {
            Err(CloudError::Unknown { .. }) => OrderStage::Unknown(now),
            _ => OrderStage::Completed(now),
        };
        let order = open.order.clone();
        match result {
            Ok(host) if matches!(host.state, HostState::Leaving | HostState::Gone) => {
                let slot = open.slot.clone();
                self.used_generations
                    .insert((slot.service, slot.slot), slot.generation);
                self.open_orders.remove(token);
            }
            Ok(host) => open.cents_per_hour = host.cents_per_hour,
            Err(CloudError::Refused { .. }) => {
                self.open_orders.remove(token);
            }
            Err(CloudError::Unknown { .. }) => {}
        }
        Some(order)
    }

    /// Returns whether a host needs to be ordered.
    pub(super) fn has_work(&self, context: HostContext<'_>) -> bool {
        !self.propose(context).is_empty()
    }

    /// Returns the orders to send now.
    pub(super) fn plan(
        &mut self,
        context: HostContext<'_>,
        limits: &ControlLimits,
    ) -> Vec<HostOrder> {
        let mut orders = self.propose(context);
        let in_flight = self.open_orders.values();
        let in_flight = in_flight.filter(|o| o.stage == OrderStage::InFlight);
        orders.truncate(
            limits
                .max_orders_in_flight
                .saturating_sub(in_flight.count()),
        );
        for open in &orders {
            self.open_orders
                .insert(open.order.token.clone(), open.clone());
        }
        orders.into_iter().map(|open| open.order).collect()
    }

    /// Returns the orders for all missing slots, without regard to the limit of orders in flight.
    fn propose(&self, context: HostContext<'_>) -> Vec<OpenOrder> {
        let mut orders = Vec::new();
        for allocation in context.allocations.values() {
            self.plan_service(context, allocation, &mut orders);
        }
        orders
    }

    fn plan_service(
        &self,
        context: HostContext<'_>,
        allocation: &SlotAllocation<'_>,
        orders: &mut Vec<OpenOrder>,
    ) {
        let HostContext {
            now,
            zone,
            view,
            selector,
            ..
        } = context;
        let row = allocation.row;
        let spend_limit = row.max_spend_cents_per_hour.unwrap_or(f64::INFINITY);
        let mut spent = allocation.cents_per_hour + self.open_cents(row, view);
        let misses_target = view.misses_token_gap_target(row);
        for (slot, generation) in allocation.missing() {
            let slot = self.next_slot(row, slot, generation);
            if self.is_open(&slot) {
                continue;
            }
            let assigned = assigned_zone(view, selector, row, slot.slot);
            if assigned.as_deref() != Some(zone) {
                // The lease holder of another zone orders it, at most at this price.
                spent += selector.highest_price(row);
                continue;
            }
            let request = OfferRequest {
                row,
                home_zone: zone,
                budget: spend_limit - spent,
                misses_target,
            };
            let Some(offer) = selector.choose(now, request) else {
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
        let used_generation = self.used_generations.get(&(row.name.clone(), slot));
        let generation = used_generation.map_or(generation, |used| generation.max(used + 1));
        HostSlot::new(&row.name, slot, generation)
    }

    fn is_open(&self, slot: &HostSlot) -> bool {
        let mut open = self.open_orders.values();
        open.any(|o| o.slot.service == slot.service && o.slot.slot == slot.slot)
    }

    /// Returns the total price of open orders whose hosts the list of cloud hosts lacks.
    fn open_cents(&self, row: &ServiceRow, view: &FleetView) -> f64 {
        let open = self.open_orders.values();
        let open = open.filter(|open| open.slot.service == row.name);
        let hidden = open.filter(|open| find_host(view, &open.slot).is_none());
        hidden.map(|open| open.cents_per_hour).sum()
    }
}

/// Returns the host that was ordered for a slot.
fn find_host<'a>(view: &'a FleetView, slot: &HostSlot) -> Option<&'a CloudHost> {
    let mut hosts = view.cloud_hosts.values();
    let found = hosts.find(|ordered| ordered.slot.as_ref() == Some(slot));
    found.map(|ordered| &ordered.host)
}

/// Returns the zone whose lease holder orders a slot.
///
/// Slots are spread over the zones that have both an entry host, and so a lease holder, and a
/// permitted offer. If there are none, they are spread over all zones with an entry host.
fn assigned_zone(
    view: &FleetView,
    selector: &OfferSelector,
    row: &ServiceRow,
    slot: u32,
) -> Option<String> {
    let offered = selector.zones(row);
    let eligible = offered
        .iter()
        .filter(|zone| view.entry_zones.contains(**zone));
    let mut zones = eligible.map(|zone| (*zone).to_owned()).collect::<Vec<_>>();
    if zones.is_empty() {
        zones = view.entry_zones.iter().cloned().collect();
    }
    if zones.is_empty() {
        return None;
    }
    // Services start at different zones, so that small services do not all share one.
    let first_zone = row.name.bytes().map(usize::from).sum::<usize>();
    Some(zones[(slot as usize + first_zone) % zones.len()].clone())
}
