//! Decides how many servers of a service are held, where and of which kind.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use crate::table::ScalingSpec;

/// Part of an engine's time that reading prompts may take where servers are cheap.
const ROOMY_SHARE: f64 = 0.33;
/// Part of an engine's time up to which prompts are read without long queues.
const NEEDED_SHARE: f64 = 0.6;
/// Part of an engine's time up to which a service lives through the loss of a zone.
const EMERGENCY_SHARE: f64 = 0.85;
/// Servers that are held beside those that the load keeps busy, against uneven arrivals.
const SPARE_SERVERS: f64 = 1.0;
/// Part of its last value that the remembered peak of the demand keeps in a second.
const PEAK_DECAY: f64 = 0.9;
/// Busy servers below which a service counts as not in use yet.
const IDLE_BUSY: f64 = 0.2;
/// Time after the first load in which the servers that stood before it are kept.
///
/// Caches are cold then, so that the load reads more than it will later.
const LEARN_SPAN: Duration = Duration::from_secs(6);
/// Time after which an order that shows no effect is sent again, beside the time to boot.
const EFFECT_SPAN: Duration = Duration::from_millis(1_500);
/// Time for which a zone that has no servers to offer is not asked.
const DRY_SPAN: Duration = Duration::from_millis(2_500);
/// Time for which enough reclaimable servers have to stand before others are given back.
const STABLE_SPAN: Duration = Duration::from_millis(1_500);

/// Time after the loss of a zone in which another one may go before a new server boots.
///
/// Reclaims come in waves; the deployments' days take zones back 3 to 10 s apart.
const WAVE_SPAN: Duration = Duration::from_secs(12);

/// Servers of one kind in one zone that the platform is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Whether reclaimable servers are meant.
    pub reclaimable: bool,
    /// Servers wanted.
    pub desired: u32,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform took it.
    Accepted,
    /// The platform has none of this kind there at present.
    NoCapacity,
    /// It was refused for another reason, or its answer is unknown.
    Failed,
}

/// Servers of a service that stand in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneCapacity {
    /// Reclaimable servers that take work.
    pub reclaimable: u32,
    /// Other servers that take work.
    pub regular: u32,
}

#[derive(Debug, Clone, Copy)]
struct LastOrder {
    desired: u32,
    at: Timestamp,
    is_taken: bool,
}

type OrderKey = (String, bool);

/// Decides how many servers of one service are held, where and of which kind.
///
/// Reclaimable servers stand in all zones, with room to spare when the zone with most of them is
/// taken back. Others are held only where these do not carry the load, or would not after the loss
/// of one more zone; they stand in the cheapest zones and are given back when reclaimable ones
/// stand again. What stood before the first load is replaced one for one until the load is known.
/// Answers zones that are taken back one after the other while nothing reclaimable is to be had,
/// and traffic that starts all at once.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::scaling::{ServerAutoscaler, ZoneCapacity};
/// use teaselglade_routing::table::ScalingSpec;
///
/// let spec = ScalingSpec {
///     min_servers: 1,
///     max_servers: 10,
///     boot: Duration::from_secs(4),
///     reclaimable_price: Some(0.15),
///     zone_prices: vec![("galway".to_owned(), 1.0), ("sligo".to_owned(), 0.8)],
/// };
/// let mut planner = ServerAutoscaler::new("draft-fleet");
/// let stock = [("galway".to_owned(), ZoneCapacity { reclaimable: 0, regular: 2 })].into();
/// let orders = planner.plan(Timestamp::from_millis(9), &spec, &stock, 2.0);
/// assert!(orders.iter().any(|order| order.reclaimable));
/// ```
#[derive(Debug, Clone)]
pub struct ServerAutoscaler {
    service: String,
    /// Remembered peak of the servers that the load keeps busy.
    peak: f64,
    peak_at: Option<Timestamp>,
    /// Most servers that were seen to stand before the first load.
    first_stock: u32,
    loaded_since: Option<Timestamp>,
    last: BTreeMap<OrderKey, LastOrder>,
    dry_until: BTreeMap<OrderKey, Timestamp>,
    enough_since: Option<Timestamp>,
    /// Reclaimable servers of each zone at the last plan.
    reclaimable_before: BTreeMap<String, u32>,
    /// Until when further zones are expected to be taken back.
    wave_until: Timestamp,
}

impl ServerAutoscaler {
    /// Makes a planner that knows nothing of earlier orders.
    #[must_use]
    pub fn new(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            peak: 0.0,
            peak_at: None,
            first_stock: 0,
            loaded_since: None,
            last: BTreeMap::new(),
            dry_until: BTreeMap::new(),
            enough_since: None,
            reclaimable_before: BTreeMap::new(),
            wave_until: Timestamp::ZERO,
        }
    }

    /// Returns the orders to send now.
    ///
    /// `busy` is how many servers the demand keeps busy with reading alone.
    pub fn plan(
        &mut self,
        now: Timestamp,
        spec: &ScalingSpec,
        stock: &BTreeMap<String, ZoneCapacity>,
        busy: f64,
    ) -> Vec<ServerOrder> {
        self.note_demand(now, busy, stock);
        let reclaimable = self.reclaimable_targets(now, spec);
        let regular = self.regular_targets(now, spec, stock);
        let reclaimable = reclaimable
            .into_iter()
            .map(|(zone, count)| (zone, true, count));
        let regular = regular
            .into_iter()
            .map(|(zone, count)| (zone, false, count));
        let wanted: Vec<(String, bool, u32)> = reclaimable.chain(regular).collect();
        wanted
            .into_iter()
            .filter_map(|(zone, is_reclaimable, desired)| {
                let zone_stock = stock.get(&zone).copied().unwrap_or_default();
                let standing = if is_reclaimable {
                    zone_stock.reclaimable
                } else {
                    zone_stock.regular
                };
                self.order(now, spec, zone, is_reclaimable, desired, standing)
            })
            .collect()
    }

    /// Notes what came of an order.
    pub fn record_outcome(&mut self, now: Timestamp, order: &ServerOrder, outcome: OrderOutcome) {
        let key = (order.zone.clone(), order.reclaimable);
        match outcome {
            OrderOutcome::Accepted => {
                if let Some(last) = self.last.get_mut(&key) {
                    last.is_taken = true;
                }
            }
            OrderOutcome::NoCapacity => {
                self.dry_until.insert(key.clone(), now + DRY_SPAN);
                self.last.remove(&key);
            }
            OrderOutcome::Failed => {}
        }
    }

    /// Returns the remembered peak of the servers that the load keeps busy.
    #[must_use]
    pub const fn peak(&self) -> f64 {
        self.peak
    }

    /// Returns how many servers the load needs where each may read for `share` of its time.
    #[must_use]
    pub fn required_servers(&self, now: Timestamp, share: f64) -> u32 {
        let by_load = if self.peak < IDLE_BUSY {
            0
        } else {
            (self.peak / share + SPARE_SERVERS).ceil() as u32
        };
        let is_learning = self
            .loaded_since
            .is_none_or(|since| now.since(since) < LEARN_SPAN);
        if is_learning {
            by_load.max(self.first_stock)
        } else {
            by_load.max(1)
        }
    }

    fn note_demand(&mut self, now: Timestamp, busy: f64, stock: &BTreeMap<String, ZoneCapacity>) {
        let elapsed = self.peak_at.map_or(Duration::ZERO, |at| now.since(at));
        self.peak_at = Some(now);
        let decayed = self.peak * PEAK_DECAY.powf(elapsed.as_secs_f64());
        self.peak = decayed.max(busy);
        if self.loaded_since.is_none() {
            if busy >= IDLE_BUSY {
                self.loaded_since = Some(now);
            } else {
                self.first_stock = self.first_stock.max(stood(stock));
            }
        }
    }

    /// Returns how many reclaimable servers every zone should have.
    fn reclaimable_targets(&self, now: Timestamp, spec: &ScalingSpec) -> Vec<(String, u32)> {
        if spec.reclaimable_price.is_none() {
            return Vec::new();
        }
        let zones = spec.zone_prices.len() as u32;
        let carrying = zones.saturating_sub(1).max(1);
        let each = self.required_servers(now, ROOMY_SHARE).div_ceil(carrying);
        let each = each.clamp(1, spec.max_servers.max(1));
        let zones = spec.zone_prices.iter();
        zones.map(|(zone, _)| (zone.clone(), each)).collect()
    }

    /// Returns how many other servers every zone should have.
    fn regular_targets(
        &mut self,
        now: Timestamp,
        spec: &ScalingSpec,
        stock: &BTreeMap<String, ZoneCapacity>,
    ) -> Vec<(String, u32)> {
        self.note_wave(now, stock);
        let surviving = surviving(stock, self.zones_in_danger(now));
        let reclaimable: u32 = stock.values().map(|zone| zone.reclaimable).sum();
        let coming = self.coming(now, spec, stock);
        let by_load = self.required_servers(now, NEEDED_SHARE);
        let by_danger = self.required_servers(now, EMERGENCY_SHARE);
        let missing = |coming: u32| {
            let missing = by_load.saturating_sub(reclaimable + coming);
            missing.max(by_danger.saturating_sub(surviving + coming))
        };
        // What is ordered saves further orders, but only what stands allows giving back.
        let (wanted, kept) = (missing(coming), missing(0));
        let standing: u32 = stock.values().map(|zone| zone.regular).sum();
        if standing <= kept {
            self.enough_since = None;
            return fill_cheapest(standing.max(wanted), spec, stock);
        }
        let enough_since = *self.enough_since.get_or_insert(now);
        let is_stable = now.since(enough_since) >= STABLE_SPAN;
        let total = if is_stable { kept } else { standing };
        fill_cheapest(total, spec, stock)
    }

    /// Notes zones that lost all their reclaimable servers since the last plan.
    fn note_wave(&mut self, now: Timestamp, stock: &BTreeMap<String, ZoneCapacity>) {
        for (zone, stock) in stock {
            let before = self
                .reclaimable_before
                .insert(zone.clone(), stock.reclaimable);
            if stock.reclaimable == 0 && before.is_some_and(|before| before >= 2) {
                self.wave_until = now + WAVE_SPAN;
            }
        }
    }

    /// Returns how many zones may be taken back before servers ordered now stand.
    fn zones_in_danger(&self, now: Timestamp) -> usize {
        if now < self.wave_until { 2 } else { 1 }
    }

    /// Returns how many reclaimable servers were ordered and have to boot still.
    fn coming(
        &self,
        now: Timestamp,
        spec: &ScalingSpec,
        stock: &BTreeMap<String, ZoneCapacity>,
    ) -> u32 {
        let taken = self.last.iter().filter(|((_, is_reclaimable), last)| {
            *is_reclaimable && last.is_taken && now.since(last.at) < spec.boot + EFFECT_SPAN
        });
        let coming = taken.map(|((zone, _), last)| {
            let standing = stock.get(zone).map_or(0, |zone| zone.reclaimable);
            last.desired.saturating_sub(standing)
        });
        coming.sum()
    }

    fn order(
        &mut self,
        now: Timestamp,
        spec: &ScalingSpec,
        zone: String,
        reclaimable: bool,
        desired: u32,
        standing: u32,
    ) -> Option<ServerOrder> {
        let key = (zone.clone(), reclaimable);
        if self.dry_until.get(&key).is_some_and(|until| now < *until) {
            return None;
        }
        let last = self.last.get(&key).copied();
        let is_settled = match last {
            Some(last) if last.desired == desired => {
                let span = if last.is_taken {
                    spec.boot + EFFECT_SPAN
                } else {
                    EFFECT_SPAN
                };
                standing == desired || now.since(last.at) < span
            }
            Some(_) => false,
            None => standing == desired,
        };
        if is_settled {
            return None;
        }
        let order = LastOrder {
            desired,
            at: now,
            is_taken: false,
        };
        self.last.insert(key, order);
        Some(ServerOrder {
            service: self.service.clone(),
            zone,
            reclaimable,
            desired,
        })
    }
}

/// Returns how many servers stood before any was replaced, as far as the stock tells.
///
/// Servers register one after the other, so the most that was seen counts. While they are replaced
/// both kinds stand; reclaimable ones are held in every zone, with one zone more than is needed.
fn stood(stock: &BTreeMap<String, ZoneCapacity>) -> u32 {
    let regular: u32 = stock.values().map(|zone| zone.regular).sum();
    let reclaimable: u32 = stock.values().map(|zone| zone.reclaimable).sum();
    let zones = (stock.len() as u32).max(1);
    regular.max(reclaimable * zones.saturating_sub(1).max(1) / zones)
}

/// Returns the reclaimable servers that stay where the `lost` fullest zones are taken back.
fn surviving(stock: &BTreeMap<String, ZoneCapacity>, lost: usize) -> u32 {
    let mut zones: Vec<u32> = stock.values().map(|zone| zone.reclaimable).collect();
    zones.sort_unstable_by(|a, b| b.cmp(a));
    zones.iter().skip(lost).sum()
}

/// Fills zones with servers that are not reclaimable, the cheapest first.
///
/// Those that stand are kept where they are as long as that many are wanted.
fn fill_cheapest(
    total: u32,
    spec: &ScalingSpec,
    stock: &BTreeMap<String, ZoneCapacity>,
) -> Vec<(String, u32)> {
    let mut zones: Vec<(&String, f64)> = spec
        .zone_prices
        .iter()
        .map(|(zone, price)| (zone, *price))
        .collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut targets: BTreeMap<&String, u32> = BTreeMap::new();
    let mut left = total;
    for (zone, _) in &zones {
        let standing = stock.get(*zone).map_or(0, |zone| zone.regular).min(left);
        targets.insert(zone, standing);
        left -= standing;
    }
    for (zone, _) in &zones {
        let reclaimable = stock.get(*zone).map_or(0, |zone| zone.reclaimable);
        let target = targets.entry(zone).or_default();
        let room = spec.max_servers.saturating_sub(reclaimable + *target);
        let added = room.min(left);
        *target += added;
        left -= added;
    }
    let targets = targets.into_iter();
    targets.map(|(zone, count)| (zone.clone(), count)).collect()
}
