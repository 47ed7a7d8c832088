//! Decides how many servers of each kind a service holds in each zone.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use crate::table::ScalingSpec;

/// Share of an engine's time that prefill may take where servers are reclaimable and cheap.
const RECLAIMABLE_LOAD_SHARE: f64 = 0.33;
/// Share of an engine's time up to which prefill causes no long queues.
const NORMAL_LOAD_SHARE: f64 = 0.6;
/// Share of an engine's time that prefill may take after the loss of a zone.
const ZONE_LOSS_LOAD_SHARE: f64 = 0.85;
/// Servers that are kept in addition to the busy ones, against uneven arrivals.
const SPARE_SERVERS: f64 = 1.0;
/// Factor by which the recorded peak of the demand decays per second.
const PEAK_DECAY_PER_SECOND: f64 = 0.9;
/// Number of busy servers below which a service counts as not in use yet.
const MIN_BUSY_SERVERS: f64 = 0.2;
/// Time after the first load in which the initial number of servers is kept.
///
/// Prefix caches are cold then, so the load needs more prefill than later.
const WARM_UP_WINDOW: Duration = Duration::from_secs(6);
/// Time after which an order without effect is repeated; accepted orders add the boot time.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which no order is sent to a zone that had no servers available.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(2_500);
/// Time for which the reclaimable servers must suffice before regular ones are released.
const STABLE_WINDOW: Duration = Duration::from_millis(1_500);

/// Time after the loss of a zone in which another loss is expected.
///
/// A second zone may be lost before a new server has booted, as reclaims come in waves: on the
/// deployments, zones are reclaimed 3 to 10 s apart.
const RECLAIM_WAVE_WINDOW: Duration = Duration::from_secs(12);

/// Order to the platform for servers of one kind in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// Name of the service.
    pub service: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether the servers are reclaimable.
    pub reclaimable: bool,
    /// Desired number of servers.
    pub desired: u32,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The zone has no servers of this kind available at present.
    NoCapacity,
    /// The order was rejected for another reason, or its outcome is unknown.
    Failed,
}

/// Servers of a service that take work in one zone. A log line prints the type by this name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneStock {
    /// Number of reclaimable servers.
    pub reclaimable: u32,
    /// Number of servers that are not reclaimable.
    pub regular: u32,
}

#[derive(Debug, Clone, Copy)]
struct SentOrder {
    desired: u32,
    sent_at: Timestamp,
    is_accepted: bool,
}

type OrderKey = (String, bool);

/// Decides how many servers of each kind one service holds in each zone.
///
/// Every zone holds enough reclaimable servers that the others carry the load when the zone with
/// most of them is reclaimed. Regular servers are held only while the reclaimable ones cannot carry
/// the load, or could not after the loss of one more zone. They run in the cheapest zones and are
/// released once reclaimable ones are ready again. Until the load is known, the servers that ran
/// before it are replaced one for one. This handles zones that are reclaimed one after the other
/// while no reclaimable servers are available, and traffic that starts at full rate.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::scaling::{ServerAutoscaler, ZoneStock};
/// use teaselglade_routing::table::ScalingSpec;
///
/// let spec = ScalingSpec {
///     min_servers: 1,
///     max_servers: 10,
///     boot: Duration::from_secs(4),
///     reclaimable_price: Some(0.15),
///     zone_prices: vec![("galway".to_owned(), 1.0), ("sligo".to_owned(), 0.8)],
/// };
/// let mut autoscaler = ServerAutoscaler::new("draft-fleet");
/// let capacity = [("galway".to_owned(), ZoneStock { reclaimable: 0, regular: 2 })].into();
/// let orders = autoscaler.plan(Timestamp::from_millis(9), &spec, &capacity, 2.0);
/// assert!(orders.iter().any(|order| order.reclaimable));
/// ```
#[derive(Debug, Clone)]
pub struct ServerAutoscaler {
    service: String,
    /// Decaying peak of the number of busy servers.
    peak: f64,
    peak_updated_at: Option<Timestamp>,
    /// Highest number of servers seen before the first load.
    initial_servers: u32,
    loaded_since: Option<Timestamp>,
    sent_orders: BTreeMap<OrderKey, SentOrder>,
    no_capacity_until: BTreeMap<OrderKey, Timestamp>,
    surplus_since: Option<Timestamp>,
    /// Reclaimable servers of each zone in the previous plan.
    last_reclaimable: BTreeMap<String, u32>,
    /// Time until which further zones are expected to be reclaimed.
    wave_until: Timestamp,
}

impl ServerAutoscaler {
    /// Creates an autoscaler without knowledge of earlier orders.
    #[must_use]
    pub fn new(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            peak: 0.0,
            peak_updated_at: None,
            initial_servers: 0,
            loaded_since: None,
            sent_orders: BTreeMap::new(),
            no_capacity_until: BTreeMap::new(),
            surplus_since: None,
            last_reclaimable: BTreeMap::new(),
            wave_until: Timestamp::ZERO,
        }
    }

    /// Returns the orders to send now.
    ///
    /// `busy_servers` is the number of servers that the demand would occupy fully with prefill.
    pub fn plan(
        &mut self,
        now: Timestamp,
        spec: &ScalingSpec,
        capacity: &BTreeMap<String, ZoneStock>,
        busy_servers: f64,
    ) -> Vec<ServerOrder> {
        self.record_demand(now, busy_servers, capacity);
        let reclaimable = self.reclaimable_targets(now, spec);
        let regular = self.regular_targets(now, spec, capacity);
        let reclaimable = reclaimable
            .into_iter()
            .map(|(zone, count)| (zone, true, count));
        let regular = regular
            .into_iter()
            .map(|(zone, count)| (zone, false, count));
        let targets: Vec<(String, bool, u32)> = reclaimable.chain(regular).collect();
        targets
            .into_iter()
            .filter_map(|(zone, is_reclaimable, desired)| {
                let zone_capacity = capacity.get(&zone).copied().unwrap_or_default();
                let ready = if is_reclaimable {
                    zone_capacity.reclaimable
                } else {
                    zone_capacity.regular
                };
                self.order_if_needed(now, spec, zone, is_reclaimable, desired, ready)
            })
            .collect()
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, now: Timestamp, order: &ServerOrder, outcome: OrderOutcome) {
        let key = (order.zone.clone(), order.reclaimable);
        match outcome {
            OrderOutcome::Accepted => {
                if let Some(sent_order) = self.sent_orders.get_mut(&key) {
                    sent_order.is_accepted = true;
                }
            }
            OrderOutcome::NoCapacity => {
                self.no_capacity_until
                    .insert(key.clone(), now + NO_CAPACITY_BACKOFF);
                self.sent_orders.remove(&key);
            }
            OrderOutcome::Failed => {}
        }
    }

    /// Returns the decaying peak of the number of busy servers.
    #[must_use]
    pub const fn peak(&self) -> f64 {
        self.peak
    }

    /// Returns the number of servers needed if prefill takes `share` of each server's time.
    #[must_use]
    pub fn required_servers(&self, now: Timestamp, share: f64) -> u32 {
        let by_load = if self.peak < MIN_BUSY_SERVERS {
            0
        } else {
            (self.peak / share + SPARE_SERVERS).ceil() as u32
        };
        let is_warming_up = self
            .loaded_since
            .is_none_or(|since| now.since(since) < WARM_UP_WINDOW);
        if is_warming_up {
            by_load.max(self.initial_servers)
        } else {
            by_load.max(1)
        }
    }

    fn record_demand(
        &mut self,
        now: Timestamp,
        busy_servers: f64,
        capacity: &BTreeMap<String, ZoneStock>,
    ) {
        let elapsed = self
            .peak_updated_at
            .map_or(Duration::ZERO, |at| now.since(at));
        self.peak_updated_at = Some(now);
        let decayed = self.peak * PEAK_DECAY_PER_SECOND.powf(elapsed.as_secs_f64());
        self.peak = decayed.max(busy_servers);
        if self.loaded_since.is_none() {
            if busy_servers >= MIN_BUSY_SERVERS {
                self.loaded_since = Some(now);
            } else {
                self.initial_servers = self.initial_servers.max(initial_count(capacity));
            }
        }
    }

    /// Returns the target number of reclaimable servers for each zone.
    fn reclaimable_targets(&self, now: Timestamp, spec: &ScalingSpec) -> Vec<(String, u32)> {
        if spec.reclaimable_price.is_none() {
            return Vec::new();
        }
        let zones = spec.zone_prices.len() as u32;
        let remaining_zones = zones.saturating_sub(1).max(1);
        let per_zone = self
            .required_servers(now, RECLAIMABLE_LOAD_SHARE)
            .div_ceil(remaining_zones);
        let per_zone = per_zone
            .max(spec.min_servers)
            .clamp(1, spec.max_servers.max(1));
        let zones = spec.zone_prices.iter();
        zones.map(|(zone, _)| (zone.clone(), per_zone)).collect()
    }

    /// Returns the target number of regular servers for each zone.
    fn regular_targets(
        &mut self,
        now: Timestamp,
        spec: &ScalingSpec,
        capacity: &BTreeMap<String, ZoneStock>,
    ) -> Vec<(String, u32)> {
        self.detect_reclaim_wave(now, capacity);
        let surviving = servers_after_loss(capacity, self.zones_at_risk(now));
        let reclaimable: u32 = capacity.values().map(|zone| zone.reclaimable).sum();
        let booting = self.booting(now, spec, capacity);
        let by_load = self.required_servers(now, NORMAL_LOAD_SHARE);
        let by_risk = self.required_servers(now, ZONE_LOSS_LOAD_SHARE);
        let missing = |booting: u32| {
            let missing = by_load.saturating_sub(reclaimable + booting);
            missing.max(by_risk.saturating_sub(surviving + booting))
        };
        // Booting servers avoid further orders, but only ready ones allow releasing regular ones.
        let (wanted, kept) = (missing(booting), missing(0));
        let ready: u32 = capacity.values().map(|zone| zone.regular).sum();
        if ready <= kept {
            self.surplus_since = None;
            return regular_targets_by_price(ready.max(wanted), spec, capacity);
        }
        let surplus_since = *self.surplus_since.get_or_insert(now);
        let is_surplus_stable = now.since(surplus_since) >= STABLE_WINDOW;
        let total = if is_surplus_stable { kept } else { ready };
        regular_targets_by_price(total, spec, capacity)
    }

    /// Extends the reclaim wave if a zone lost all of at least two reclaimable servers.
    fn detect_reclaim_wave(&mut self, now: Timestamp, capacity: &BTreeMap<String, ZoneStock>) {
        for (zone, capacity) in capacity {
            let before = self
                .last_reclaimable
                .insert(zone.clone(), capacity.reclaimable);
            if capacity.reclaimable == 0 && before.is_some_and(|before| before >= 2) {
                self.wave_until = now + RECLAIM_WAVE_WINDOW;
            }
        }
    }

    /// Returns the number of zones that may be reclaimed before servers ordered now are ready.
    fn zones_at_risk(&self, now: Timestamp) -> usize {
        if now < self.wave_until { 2 } else { 1 }
    }

    /// Returns the number of reclaimable servers that were ordered and are still booting.
    fn booting(
        &self,
        now: Timestamp,
        spec: &ScalingSpec,
        capacity: &BTreeMap<String, ZoneStock>,
    ) -> u32 {
        let pending = self
            .sent_orders
            .iter()
            .filter(|((_, is_reclaimable), order)| {
                *is_reclaimable
                    && order.is_accepted
                    && now.since(order.sent_at) < spec.boot + ORDER_TIMEOUT
            });
        let booting = pending.map(|((zone, _), order)| {
            let ready = capacity.get(zone).map_or(0, |zone| zone.reclaimable);
            order.desired.saturating_sub(ready)
        });
        booting.sum()
    }

    fn order_if_needed(
        &mut self,
        now: Timestamp,
        spec: &ScalingSpec,
        zone: String,
        reclaimable: bool,
        desired: u32,
        ready: u32,
    ) -> Option<ServerOrder> {
        let key = (zone.clone(), reclaimable);
        if self
            .no_capacity_until
            .get(&key)
            .is_some_and(|until| now < *until)
        {
            return None;
        }
        let sent_order = self.sent_orders.get(&key).copied();
        let is_settled = match sent_order {
            Some(order) if order.desired == desired => {
                let timeout = if order.is_accepted {
                    spec.boot + ORDER_TIMEOUT
                } else {
                    ORDER_TIMEOUT
                };
                ready == desired || now.since(order.sent_at) < timeout
            }
            Some(_) => false,
            None => ready == desired,
        };
        if is_settled {
            return None;
        }
        let order = SentOrder {
            desired,
            sent_at: now,
            is_accepted: false,
        };
        self.sent_orders.insert(key, order);
        Some(ServerOrder {
            service: self.service.clone(),
            zone,
            reclaimable,
            desired,
        })
    }
}

/// Estimates the number of servers that ran before any of them was replaced.
///
/// Servers register one after the other, so the caller keeps the highest estimate. During the
/// replacement both kinds are ready, and the reclaimable ones include one zone more than needed.
fn initial_count(capacity: &BTreeMap<String, ZoneStock>) -> u32 {
    let regular: u32 = capacity.values().map(|zone| zone.regular).sum();
    let reclaimable: u32 = capacity.values().map(|zone| zone.reclaimable).sum();
    let zones = (capacity.len() as u32).max(1);
    regular.max(reclaimable * zones.saturating_sub(1).max(1) / zones)
}

/// Returns the reclaimable servers that remain if the `lost` largest zones are reclaimed.
fn servers_after_loss(capacity: &BTreeMap<String, ZoneStock>, lost: usize) -> u32 {
    let mut zones: Vec<u32> = capacity.values().map(|zone| zone.reclaimable).collect();
    zones.sort_unstable_by(|a, b| b.cmp(a));
    zones.iter().skip(lost).sum()
}

/// Distributes `total` regular servers over the zones, the cheapest first.
///
/// Ready servers stay in their zones as long as the total allows it.
fn regular_targets_by_price(
    total: u32,
    spec: &ScalingSpec,
    capacity: &BTreeMap<String, ZoneStock>,
) -> Vec<(String, u32)> {
    let mut zones: Vec<(&String, f64)> = spec
        .zone_prices
        .iter()
        .map(|(zone, price)| (zone, *price))
        .collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut targets: BTreeMap<&String, u32> = BTreeMap::new();
    let mut remaining = total;
    for (zone, _) in &zones {
        let ready = capacity
            .get(*zone)
            .map_or(0, |zone| zone.regular)
            .min(remaining);
        targets.insert(zone, ready);
        remaining -= ready;
    }
    for (zone, _) in &zones {
        let reclaimable = capacity.get(*zone).map_or(0, |zone| zone.reclaimable);
        let target = targets.entry(zone).or_default();
        let free_capacity = spec.max_servers.saturating_sub(reclaimable + *target);
        let added = free_capacity.min(remaining);
        *target += added;
        remaining -= added;
    }
    let targets = targets.into_iter();
    targets.map(|(zone, count)| (zone.clone(), count)).collect()
}
