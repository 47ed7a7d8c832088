//! Autoscaling under traffic that starts at full rate and zones that are reclaimed in turn.

use std::collections::{BTreeMap, VecDeque};

use teaselglade_routing::scaling::{OrderOutcome, ServerAutoscaler, ServerOrder, ZoneStock};
use teaselglade_routing::table::ScalingSpec;

use super::fixture::{at, scaling};

const STEP_MS: u64 = 500;
const BOOT_MS: u64 = 4_000;

/// Platform that boots ordered servers and reclaims zones.
struct SimulatedPlatform {
    capacity: BTreeMap<String, ZoneStock>,
    booting: VecDeque<(u64, ServerOrder)>,
    no_capacity_until: u64,
    server_cost: f64,
}

impl SimulatedPlatform {
    fn new(regular_per_zone: u32) -> Self {
        let zones = scaling().zone_prices.into_iter();
        let capacity = zones.map(|(zone, _)| {
            let capacity = ZoneStock {
                reclaimable: 0,
                regular: regular_per_zone,
            };
            (zone, capacity)
        });
        Self {
            capacity: capacity.collect(),
            booting: VecDeque::new(),
            no_capacity_until: 0,
            server_cost: 0.0,
        }
    }

    fn order(&mut self, now: u64, order: &ServerOrder) -> OrderOutcome {
        let zone = self.capacity.entry(order.zone.clone()).or_default();
        let ready_servers = if order.reclaimable {
            &mut zone.reclaimable
        } else {
            &mut zone.regular
        };
        if order.desired > *ready_servers && order.reclaimable && now < self.no_capacity_until {
            return OrderOutcome::NoCapacity;
        }
        if order.desired < *ready_servers {
            *ready_servers = order.desired;
        }
        for (_, booting_order) in &mut self.booting {
            if booting_order.zone == order.zone && booting_order.reclaimable == order.reclaimable {
                booting_order.desired = booting_order.desired.min(order.desired);
            }
        }
        // Servers of earlier orders continue to boot; only additional ones start now.
        self.booting.push_back((now + BOOT_MS, order.clone()));
        OrderOutcome::Accepted
    }

    fn advance(&mut self, now: u64) {
        while let Some((ready, order)) = self.booting.front().cloned() {
            if ready > now {
                break;
            }
            self.booting.pop_front();
            let zone = self.capacity.entry(order.zone).or_default();
            if order.reclaimable {
                zone.reclaimable = zone.reclaimable.max(order.desired);
            } else {
                zone.regular = zone.regular.max(order.desired);
            }
        }
        for zone in self.capacity.values() {
            let price = f64::from(zone.regular) + 0.15 * f64::from(zone.reclaimable);
            self.server_cost += price * STEP_MS as f64 / 1_000.0;
        }
    }

    fn reclaim(&mut self, now: u64, zone: &str, no_capacity_ms: u64) {
        self.capacity
            .entry(zone.to_owned())
            .or_default()
            .reclaimable = 0;
        self.booting
            .retain(|(_, order)| order.zone != zone || !order.reclaimable);
        self.no_capacity_until = self.no_capacity_until.max(now + no_capacity_ms);
    }

    fn servers(&self) -> u32 {
        let zones = self.capacity.values();
        zones.map(|zone| zone.reclaimable + zone.regular).sum()
    }
}

/// Runs a load that keeps `busy_servers(now)` servers busy; returns the server count of each step.
fn run_load(
    platform: &mut SimulatedPlatform,
    seconds: u64,
    busy_servers: impl Fn(u64) -> f64,
    mut on_step: impl FnMut(u64, &mut SimulatedPlatform),
) -> Vec<u32> {
    let mut autoscaler = ServerAutoscaler::new("draft-fleet");
    let mut server_counts = Vec::new();
    for now in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        platform.advance(now);
        on_step(now, platform);
        for order in autoscaler.plan(at(now), &scaling(), &platform.capacity, busy_servers(now)) {
            let outcome = platform.order(now, &order);
            autoscaler.record_outcome(at(now), &order, outcome);
        }
        server_counts.push(platform.servers());
    }
    server_counts
}

#[test]
fn initial_servers_are_replaced_and_not_released_before_the_load() {
    let mut platform = SimulatedPlatform::new(4);
    let servers = run_load(&mut platform, 12, |_| 0.0, |_, _| {});
    assert!(servers.iter().all(|count| *count >= 16), "{servers:?}");
    let regular: u32 = platform.capacity.values().map(|zone| zone.regular).sum();
    assert_eq!(regular, 0, "reclaimable servers replace all of them");
}

/// Guards against a leader releasing servers that have not registered yet.
///
/// A leader that started together with its servers saw two of ninety at first, took these for the
/// initial number and released the others before the load came.
#[test]
fn servers_that_register_one_after_the_other_all_count() {
    let mut platform = SimulatedPlatform::new(22);
    let mut autoscaler = ServerAutoscaler::new("draft-fleet");
    for now in (0..12_000).step_by(STEP_MS as usize) {
        platform.advance(now);
        let visible = match now / STEP_MS {
            0 => 0,
            1 => 1,
            2 => 15,
            _ => u32::MAX,
        };
        let mut capacity = platform.capacity.clone();
        for zone in capacity.values_mut() {
            zone.regular = zone.regular.min(visible);
        }
        for order in autoscaler.plan(at(now), &scaling(), &capacity, 0.0) {
            // The leader cannot release servers that it does not see yet.
            let is_visible = visible == u32::MAX || order.reclaimable;
            let outcome = if is_visible {
                platform.order(now, &order)
            } else {
                OrderOutcome::Failed
            };
            autoscaler.record_outcome(at(now), &order, outcome);
        }
        assert!(platform.servers() >= 88, "{} at {now}", platform.servers());
    }
}

/// Guards against a new leader counting both kinds of servers as needed during a replacement.
#[test]
fn a_leader_change_before_the_load_orders_no_more_than_the_initial_servers() {
    let capacity: BTreeMap<String, ZoneStock> = SimulatedPlatform::new(22)
        .capacity
        .into_iter()
        .map(|(zone, capacity)| {
            let reclaimable = 30;
            (
                zone,
                ZoneStock {
                    reclaimable,
                    ..capacity
                },
            )
        })
        .collect();
    let mut autoscaler = ServerAutoscaler::new("draft-fleet");
    let orders = autoscaler.plan(at(0), &scaling(), &capacity, 0.0);
    let reclaimable_orders = orders.iter().filter(|order| order.reclaimable);
    assert!(
        reclaimable_orders.clone().all(|order| order.desired <= 31),
        "{orders:?}"
    );
}

#[test]
fn the_load_is_carried_while_zones_are_reclaimed_in_turn() {
    let busy_servers = 5.0;
    let mut platform = SimulatedPlatform::new(4);
    let zones = ["sligo", "galway", "ennis", "limerick"];
    let servers = run_load(
        &mut platform,
        60,
        |now| if now < 10_000 { 0.0 } else { busy_servers },
        |now, platform| {
            let since_first = now.checked_sub(20_000).filter(|since| since % 3_000 == 0);
            let reclaimed_zone = since_first.and_then(|since| zones.get((since / 3_000) as usize));
            if let Some(zone) = reclaimed_zone {
                platform.reclaim(now, zone, 15_000);
            }
        },
    );
    let loaded = &servers[20..];
    assert!(
        loaded.iter().all(|count| f64::from(*count) >= busy_servers),
        "fewer servers than the load keeps busy: {loaded:?}"
    );
}

#[test]
fn a_load_that_ends_leaves_few_servers_behind() {
    let mut platform = SimulatedPlatform::new(4);
    let servers = run_load(
        &mut platform,
        120,
        |now| {
            if (10_000..40_000).contains(&now) {
                6.0
            } else {
                0.5
            }
        },
        |_, _| {},
    );
    assert!(
        servers.last().is_some_and(|count| *count <= 8),
        "{servers:?}"
    );
}

#[test]
fn a_pending_order_is_not_repeated() {
    let mut autoscaler = ServerAutoscaler::new("draft-fleet");
    let capacity = SimulatedPlatform::new(4).capacity;
    let orders = autoscaler.plan(at(0), &scaling(), &capacity, 0.0);
    assert!(!orders.is_empty());
    for order in &orders {
        autoscaler.record_outcome(at(0), order, OrderOutcome::Accepted);
    }
    assert!(
        autoscaler
            .plan(at(500), &scaling(), &capacity, 0.0)
            .is_empty()
    );
    let repeated_orders = autoscaler.plan(at(9_000), &scaling(), &capacity, 0.0);
    assert!(
        !repeated_orders.is_empty(),
        "an order without effect is repeated"
    );
}

#[test]
fn a_zone_keeps_at_least_the_servers_that_the_rule_names() {
    let spec = ScalingSpec {
        min_servers: 3,
        ..scaling()
    };
    let mut autoscaler = ServerAutoscaler::new("draft-fleet");
    let orders = autoscaler.plan(at(0), &spec, &BTreeMap::new(), 0.0);
    let reclaimable: Vec<u32> = orders
        .iter()
        .filter(|order| order.reclaimable)
        .map(|order| order.desired)
        .collect();
    assert_eq!(reclaimable, [3, 3, 3, 3]);
}
