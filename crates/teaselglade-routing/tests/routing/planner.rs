//! Servers held: traffic that starts at once, zones that are taken back one after the other.

use std::collections::{BTreeMap, VecDeque};

use teaselglade_routing::scaling::{OrderOutcome, ServerAutoscaler, ServerOrder, ZoneCapacity};

use super::fixture::{at, scaling};

const STEP_MS: u64 = 500;
const BOOT_MS: u64 = 4_000;

/// A platform that boots servers and takes zones back.
struct Platform {
    stock: BTreeMap<String, ZoneCapacity>,
    booting: VecDeque<(u64, ServerOrder)>,
    dry_until: u64,
    server_seconds: f64,
}

impl Platform {
    fn new(regular_in_each_zone: u32) -> Self {
        let zones = scaling().zone_prices.into_iter();
        let stock = zones.map(|(zone, _)| {
            let stock = ZoneCapacity {
                reclaimable: 0,
                regular: regular_in_each_zone,
            };
            (zone, stock)
        });
        Self {
            stock: stock.collect(),
            booting: VecDeque::new(),
            dry_until: 0,
            server_seconds: 0.0,
        }
    }

    fn order(&mut self, now: u64, order: &ServerOrder) -> OrderOutcome {
        let zone = self.stock.entry(order.zone.clone()).or_default();
        let standing = if order.reclaimable {
            &mut zone.reclaimable
        } else {
            &mut zone.regular
        };
        if order.desired > *standing && order.reclaimable && now < self.dry_until {
            return OrderOutcome::NoCapacity;
        }
        if order.desired < *standing {
            *standing = order.desired;
        }
        for (_, known) in &mut self.booting {
            if known.zone == order.zone && known.reclaimable == order.reclaimable {
                known.desired = known.desired.min(order.desired);
            }
        }
        // What was ordered before goes on booting; only what is new begins to.
        self.booting.push_back((now + BOOT_MS, order.clone()));
        OrderOutcome::Accepted
    }

    fn advance(&mut self, now: u64) {
        while let Some((ready, order)) = self.booting.front().cloned() {
            if ready > now {
                break;
            }
            self.booting.pop_front();
            let zone = self.stock.entry(order.zone).or_default();
            if order.reclaimable {
                zone.reclaimable = zone.reclaimable.max(order.desired);
            } else {
                zone.regular = zone.regular.max(order.desired);
            }
        }
        for zone in self.stock.values() {
            let price = f64::from(zone.regular) + 0.15 * f64::from(zone.reclaimable);
            self.server_seconds += price * STEP_MS as f64 / 1_000.0;
        }
    }

    fn reclaim(&mut self, now: u64, zone: &str, dry_ms: u64) {
        self.stock.entry(zone.to_owned()).or_default().reclaimable = 0;
        self.booting
            .retain(|(_, order)| order.zone != zone || !order.reclaimable);
        self.dry_until = self.dry_until.max(now + dry_ms);
    }

    fn servers(&self) -> u32 {
        let zones = self.stock.values();
        zones.map(|zone| zone.reclaimable + zone.regular).sum()
    }
}

/// Plays a load that keeps `busy(now)` servers reading; returns the fewest servers by second.
fn play(
    platform: &mut Platform,
    seconds: u64,
    busy: impl Fn(u64) -> f64,
    mut on_step: impl FnMut(u64, &mut Platform),
) -> Vec<u32> {
    let mut planner = ServerAutoscaler::new("draft-fleet");
    let mut fewest = Vec::new();
    for now in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        platform.advance(now);
        on_step(now, platform);
        for order in planner.plan(at(now), &scaling(), &platform.stock, busy(now)) {
            let outcome = platform.order(now, &order);
            planner.record_outcome(at(now), &order, outcome);
        }
        fewest.push(platform.servers());
    }
    fewest
}

#[test]
fn servers_that_stood_before_the_load_are_replaced_and_not_given_back() {
    let mut platform = Platform::new(4);
    let servers = play(&mut platform, 12, |_| 0.0, |_, _| {});
    assert!(servers.iter().all(|count| *count >= 16), "{servers:?}");
    let regular: u32 = platform.stock.values().map(|zone| zone.regular).sum();
    assert_eq!(regular, 0, "reclaimable ones stand in for all of them");
}

/// Replays a holder that starts with its servers: it saw two of ninety first, took these for all
/// that stood, and gave the others back before the load came.
#[test]
fn servers_that_register_one_after_the_other_all_count() {
    let mut platform = Platform::new(22);
    let mut planner = ServerAutoscaler::new("draft-fleet");
    for now in (0..12_000).step_by(STEP_MS as usize) {
        platform.advance(now);
        let seen = match now / STEP_MS {
            0 => 0,
            1 => 1,
            2 => 15,
            _ => u32::MAX,
        };
        let mut stock = platform.stock.clone();
        for zone in stock.values_mut() {
            zone.regular = zone.regular.min(seen);
        }
        for order in planner.plan(at(now), &scaling(), &stock, 0.0) {
            // What the holder does not see yet, it does not give back either.
            let is_seen = seen == u32::MAX || order.reclaimable;
            let outcome = if is_seen {
                platform.order(now, &order)
            } else {
                OrderOutcome::Failed
            };
            planner.record_outcome(at(now), &order, outcome);
        }
        assert!(platform.servers() >= 88, "{} at {now}", platform.servers());
    }
}

/// A holder that takes over while servers are replaced must not take both kinds for needed.
#[test]
fn a_takeover_before_the_load_orders_no_more_than_stood() {
    let stock: BTreeMap<String, ZoneCapacity> = Platform::new(22)
        .stock
        .into_iter()
        .map(|(zone, stock)| {
            let reclaimable = 30;
            (
                zone,
                ZoneCapacity {
                    reclaimable,
                    ..stock
                },
            )
        })
        .collect();
    let mut planner = ServerAutoscaler::new("draft-fleet");
    let orders = planner.plan(at(0), &scaling(), &stock, 0.0);
    let wanted = orders.iter().filter(|order| order.reclaimable);
    assert!(
        wanted.clone().all(|order| order.desired <= 31),
        "{orders:?}"
    );
}

#[test]
fn the_load_is_carried_while_zones_are_taken_back_in_turn() {
    let busy = 5.0;
    let mut platform = Platform::new(4);
    let zones = ["sligo", "galway", "ennis", "limerick"];
    let servers = play(
        &mut platform,
        60,
        |now| if now < 10_000 { 0.0 } else { busy },
        |now, platform| {
            let turn = now.checked_sub(20_000).filter(|since| since % 3_000 == 0);
            let turn = turn.and_then(|since| zones.get((since / 3_000) as usize));
            if let Some(zone) = turn {
                platform.reclaim(now, zone, 15_000);
            }
        },
    );
    let loaded = &servers[20..];
    assert!(
        loaded.iter().all(|count| f64::from(*count) >= busy),
        "fewer servers than the load keeps busy: {loaded:?}"
    );
}

#[test]
fn a_load_that_ends_leaves_few_servers_behind() {
    let mut platform = Platform::new(4);
    let servers = play(
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
fn an_order_whose_effect_is_under_way_is_not_repeated() {
    let mut planner = ServerAutoscaler::new("draft-fleet");
    let stock = Platform::new(4).stock;
    let orders = planner.plan(at(0), &scaling(), &stock, 0.0);
    assert!(!orders.is_empty());
    for order in &orders {
        planner.record_outcome(at(0), order, OrderOutcome::Accepted);
    }
    assert!(planner.plan(at(500), &scaling(), &stock, 0.0).is_empty());
    let again = planner.plan(at(9_000), &scaling(), &stock, 0.0);
    assert!(!again.is_empty(), "an order without effect is sent again");
}
