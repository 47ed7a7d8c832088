//! Decides how many servers of a service are held, where and of which kind.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use crate::table::ScalingSpec;

/// Part of an engine's time that reading prompts may take, so that the rest meets the targets.
const READ_SHARE: f64 = 0.35;
/// Fewest servers that are held beside those that the load needs.
const SPARE_SERVERS: f64 = 1.0;
/// Part of its last value that the remembered peak of the demand keeps in a second.
const PEAK_DECAY: f64 = 0.97;
/// Time after which an order that shows no effect is sent again, beside the time to boot.
const EFFECT_SPAN: Duration = Duration::from_millis(1_500);
/// Time for which a zone that has no servers to offer is not asked.
const DRY_SPAN: Duration = Duration::from_millis(2_500);
/// Time for which enough reclaimable servers have to stand before others are given back.
const STABLE_SPAN: Duration = Duration::from_millis(1_500);
/// Time after the start of planning in which nothing is given back, as demand is not known.
const LEARN_SPAN: Duration = Duration::from_millis(1_000);

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
    Taken,
    /// The platform has none of this kind there at present.
    NoneThere,
    /// It was refused for another reason, or its answer is unknown.
    Failed,
}

/// Servers of a service that stand in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneStock {
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
/// The load needs a number of servers. Reclaimable ones stand in all zones, as many as carry the
/// load when the zone with most of them is taken back; other servers fill what is missing, in the
/// cheapest zones, and are given back when the reclaimable ones stand again. Answers zones that
/// are taken back one after the other while nothing reclaimable is to be had.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::scaling::{FleetPlanner, ZoneStock};
/// use teaselglade_routing::table::ScalingSpec;
///
/// let spec = ScalingSpec {
///     min_servers: 1,
///     max_servers: 10,
///     boot: Duration::from_secs(4),
///     reclaimable_price: Some(0.15),
///     zone_prices: vec![("galway".to_owned(), 1.0), ("sligo".to_owned(), 0.8)],
/// };
/// let mut planner = FleetPlanner::new("draft-fleet");
/// let stock = [("galway".to_owned(), ZoneStock { reclaimable: 0, regular: 2 })].into();
/// let orders = planner.plan(Timestamp::from_millis(9), &spec, &stock, 2.0);
/// assert!(orders.iter().any(|order| order.reclaimable));
/// ```
#[derive(Debug, Clone)]
pub struct FleetPlanner {
    service: String,
    started: Option<Timestamp>,
    /// Remembered peak of the servers that the load keeps busy.
    peak: f64,
    peak_at: Option<Timestamp>,
    last: BTreeMap<OrderKey, LastOrder>,
    dry_until: BTreeMap<OrderKey, Timestamp>,
    enough_since: Option<Timestamp>,
}

impl FleetPlanner {
    /// Makes a planner that knows nothing of earlier orders.
    #[must_use]
    pub fn new(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            started: None,
            peak: 0.0,
            peak_at: None,
            last: BTreeMap::new(),
            dry_until: BTreeMap::new(),
            enough_since: None,
        }
    }

    /// Returns the orders to send now.
    ///
    /// `busy` is how many servers the demand keeps busy with reading alone.
    pub fn plan(
        &mut self,
        now: Timestamp,
        spec: &ScalingSpec,
        stock: &BTreeMap<String, ZoneStock>,
        busy: f64,
    ) -> Vec<ServerOrder> {
        let started = *self.started.get_or_insert(now);
        self.note_demand(now, busy);
        let needed = self.needed();
        let reclaimable = self.reclaimable_targets(spec, needed);
        let standing: u32 = stock.values().map(|zone| zone.reclaimable).sum();
        let most_in_zone = stock.values().map(|zone| zone.reclaimable).max();
        let surviving = standing - most_in_zone.unwrap_or(0);
        let regular = self.regular_targets(now, started, spec, stock, needed, surviving);
        let wanted = reclaimable
            .into_iter()
            .map(|(zone, desired)| (zone, true, desired))
            .chain(
                regular
                    .into_iter()
                    .map(|(zone, desired)| (zone, false, desired)),
            );
        let wanted: Vec<(String, bool, u32)> = wanted.collect();
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
    pub fn note_outcome(&mut self, now: Timestamp, order: &ServerOrder, outcome: OrderOutcome) {
        let key = (order.zone.clone(), order.reclaimable);
        match outcome {
            OrderOutcome::Taken => {
                if let Some(last) = self.last.get_mut(&key) {
                    last.is_taken = true;
                }
            }
            OrderOutcome::NoneThere => {
                self.dry_until.insert(key.clone(), now + DRY_SPAN);
                self.last.remove(&key);
            }
            OrderOutcome::Failed => {}
        }
    }

    /// Returns how many servers the load needs, spare ones included.
    #[must_use]
    pub fn needed(&self) -> u32 {
        (self.peak / READ_SHARE + SPARE_SERVERS).ceil() as u32
    }

    fn note_demand(&mut self, now: Timestamp, busy: f64) {
        let elapsed = self.peak_at.map_or(Duration::ZERO, |at| now.since(at));
        self.peak_at = Some(now);
        let decayed = self.peak * PEAK_DECAY.powf(elapsed.as_secs_f64());
        self.peak = decayed.max(busy);
    }

    /// Returns how many reclaimable servers every zone should have.
    fn reclaimable_targets(&self, spec: &ScalingSpec, needed: u32) -> Vec<(String, u32)> {
        if spec.reclaimable_price.is_none() {
            return Vec::new();
        }
        let zones = spec.zone_prices.len() as u32;
        let carrying = zones.saturating_sub(1).max(1);
        let most = spec.max_servers.saturating_sub(spec.min_servers);
        let each = needed.div_ceil(carrying).clamp(1, most.max(1));
        let zones = spec.zone_prices.iter();
        zones.map(|(zone, _)| (zone.clone(), each)).collect()
    }

    /// Returns how many other servers every zone should have.
    fn regular_targets(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        spec: &ScalingSpec,
        stock: &BTreeMap<String, ZoneStock>,
        needed: u32,
        surviving: u32,
    ) -> Vec<(String, u32)> {
        let missing = needed.saturating_sub(surviving);
        let standing: u32 = stock.values().map(|zone| zone.regular).sum();
        let enough = standing > missing;
        if !enough {
            self.enough_since = None;
        }
        let since = enough.then(|| *self.enough_since.get_or_insert(now));
        let may_shrink = since.is_some_and(|since| now.since(since) >= STABLE_SPAN)
            && now.since(started) >= LEARN_SPAN;
        let total = if may_shrink {
            missing
        } else {
            standing.max(missing)
        };
        let mut zones: Vec<(&String, f64)> = spec
            .zone_prices
            .iter()
            .map(|(zone, price)| (zone, *price))
            .collect();
        zones.sort_by(|a, b| a.1.total_cmp(&b.1));
        if !may_shrink && total == standing {
            let keep = zones.into_iter().map(|(zone, _)| {
                let regular = stock.get(zone).map_or(0, |stock| stock.regular);
                (zone.clone(), regular)
            });
            return keep.collect();
        }
        spread(total, spec.max_servers, &zones)
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

/// Spreads servers over zones, one at a time, beginning with the cheapest.
fn spread(total: u32, most: u32, zones: &[(&String, f64)]) -> Vec<(String, u32)> {
    let count = (zones.len() as u32).max(1);
    let rest = total % count;
    let spread = zones.iter().enumerate().map(|(index, (zone, _))| {
        let extra = u32::from((index as u32) < rest);
        ((*zone).clone(), (total / count + extra).min(most))
    });
    spread.collect()
}
