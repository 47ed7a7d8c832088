//! Distribution of a service's demand over zones by marginal cost.

use std::time::Duration;

use super::{OutflowTarget, ServiceLoad, ZoneLoad, ZoneOutflow};

/// Number of steps in which the demand of all zones could be moved.
const STEPS: usize = 400;
/// Highest usage of a zone for which the queueing formula is evaluated.
///
/// Above, the wait is extended along its slope, so that it stays finite and keeps growing.
const MAX_FORMULA_USAGE: f64 = 0.96;
/// Change of usage over which slopes are taken.
const USAGE_STEP: f64 = 0.001;
/// Smallest gain for which demand is moved, in milliseconds; below, estimates do not tell.
const MIN_GAIN_MS: f64 = 1.0;

/// State of one zone while its demand is distributed.
struct FilledZone<'a> {
    load: &'a ZoneLoad,
    /// Work per second that the zone's servers get.
    assigned: f64,
    sends: bool,
    receives: bool,
    /// Work per second that other zones serve, by their index.
    sent: Vec<f64>,
}

/// Returns the outflows by which the demand of `service` costs its callers least.
///
/// Demand moves from the zone where the next unit of load costs most to the one where it costs
/// least, as long as the difference exceeds the crossing. Cost is the wait of the unit and the wait
/// that it adds for all others there. A zone either sends or receives.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_routing::zone::{ServiceLoad, ZoneLoad, fill_zones};
///
/// let zone = |zone: &str, demand| ZoneLoad { zone: zone.into(), demand, room: 10.0, servers: 10 };
/// let load = ServiceLoad {
///     zones: vec![zone("galway", 14.0), zone("sligo", 2.0)],
///     service_time: Duration::from_millis(50),
///     crossing: Duration::from_millis(2),
/// };
/// let outflows = fill_zones("draft-fleet", &load);
/// assert_eq!(outflows[0].from, "galway");
/// assert!(outflows[0].share() > 0.28);
/// ```
#[must_use]
pub fn fill_zones(service: &str, load: &ServiceLoad) -> Vec<ZoneOutflow> {
    let count = load.zones.len();
    let total: f64 = load.zones.iter().map(|zone| zone.demand).sum();
    let step = total / STEPS as f64;
    let mut zones: Vec<FilledZone<'_>> = load
        .zones
        .iter()
        .map(|load| FilledZone {
            load,
            assigned: load.demand,
            sends: false,
            receives: false,
            sent: vec![0.0; count],
        })
        .collect();
    let crossing_ms = load.crossing.as_secs_f64() * 1_000.0;
    for _ in 0..STEPS {
        if !move_step(&mut zones, step, load.service_time, crossing_ms) {
            break;
        }
    }
    let outflows = zones.iter().filter(|zone| zone.sends);
    let outflows = outflows.map(|zone| ZoneOutflow {
        service: service.to_owned(),
        from: zone.load.zone.clone(),
        targets: zone
            .sent
            .iter()
            .zip(&zones)
            .filter(|(sent, _)| **sent > 0.0)
            .map(|(sent, target)| OutflowTarget {
                zone: target.load.zone.clone(),
                share: (sent / zone.load.demand).min(1.0) as f32,
            })
            .collect(),
    });
    outflows.collect()
}

/// Moves one step of demand where that gains most; returns whether any was moved.
fn move_step(
    zones: &mut [FilledZone<'_>],
    step: f64,
    service_time: Duration,
    crossing_ms: f64,
) -> bool {
    let cost = |zone: &FilledZone<'_>| marginal_cost_ms(zone.load, zone.assigned, service_time);
    let senders = zones.iter().enumerate().filter(|(_, zone)| {
        let is_nonempty = zone.assigned > step * 1e-6;
        !zone.receives && is_nonempty && zone.load.demand > 0.0
    });
    let Some((from, from_cost)) = senders
        .map(|(index, zone)| (index, cost(zone)))
        .max_by(|a, b| a.1.total_cmp(&b.1))
    else {
        return false;
    };
    let receivers = zones
        .iter()
        .enumerate()
        .filter(|(index, zone)| *index != from && !zone.sends && zone.load.room > 0.0);
    let Some((to, to_cost)) = receivers
        .map(|(index, zone)| (index, cost(zone)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
    else {
        return false;
    };
    if from_cost - to_cost - crossing_ms <= MIN_GAIN_MS {
        return false;
    }
    let moved = step.min(zones[from].assigned);
    zones[from].assigned -= moved;
    zones[from].sends = true;
    zones[from].sent[to] += moved;
    zones[to].assigned += moved;
    zones[to].receives = true;
    true
}

/// Returns what the next unit of load costs the callers served in a zone, in milliseconds.
fn marginal_cost_ms(zone: &ZoneLoad, assigned: f64, service_time: Duration) -> f64 {
    if zone.room <= 0.0 {
        return f64::INFINITY;
    }
    let usage = assigned / zone.room;
    let total = |usage: f64| usage * wait_ms(usage, zone.servers, service_time);
    (total(usage + USAGE_STEP) - total(usage)) / USAGE_STEP
}

/// Returns the mean wait in a queue before `servers` servers (Sakasegawa's approximation).
fn wait_ms(usage: f64, servers: u32, service_time: Duration) -> f64 {
    let servers = f64::from(servers.max(1));
    let exponent = (2.0 * (servers + 1.0)).sqrt() - 1.0;
    let service_ms = service_time.as_secs_f64() * 1_000.0;
    let formula = |usage: f64| service_ms * usage.powf(exponent) / (servers * (1.0 - usage));
    if usage <= MAX_FORMULA_USAGE {
        return formula(usage);
    }
    let slope = (formula(MAX_FORMULA_USAGE) - formula(MAX_FORMULA_USAGE - USAGE_STEP)) / USAGE_STEP;
    formula(MAX_FORMULA_USAGE) + slope * (usage - MAX_FORMULA_USAGE)
}
