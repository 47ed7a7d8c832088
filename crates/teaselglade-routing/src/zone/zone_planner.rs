//! Plan of the parts of each zone's demand that leave it.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{OutflowTarget, ServiceLoad, ZoneOutflow, fill_zones};

/// Time constant with which an outflow grows.
const RISE_TIME: Duration = Duration::from_millis(250);
/// Largest part of a zone's demand that comes home in a second.
///
/// Servers that return have to open connections and fill their caches.
const RETURN_PER_SECOND: f64 = 0.25;
/// Change of an outflow that is too small to follow, as a part of the zone's demand.
const DEAD_BAND: f64 = 0.02;
/// Time for which an outflow outlives the data that it was computed from.
const HOLD_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Default)]
struct ServicePlan {
    updated_at: Timestamp,
    /// Outflow of each sending zone.
    outflows: Vec<ZoneOutflow>,
}

/// Plans the parts of each zone's demand that leave it, by service.
///
/// An outflow grows within a second and returns in steps. Changes below the dead band are not
/// followed. No zone sends and receives for one service at the same time.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::zone::ZonePlanner;
///
/// let planner = ZonePlanner::default();
/// assert!(planner.outflows(Timestamp::ZERO).next().is_none());
/// ```
#[derive(Debug, Default)]
pub struct ZonePlanner {
    plans: HashMap<String, ServicePlan>,
}

impl ZonePlanner {
    /// Updates the outflows of a service from its demand and room.
    pub fn update(&mut self, now: Timestamp, service: &str, load: &ServiceLoad) {
        let wanted = fill_zones(service, load);
        let plan = self.plans.entry(service.to_owned()).or_default();
        let elapsed = now.since(plan.updated_at).min(HOLD_TIME);
        plan.updated_at = now;
        let outflows = load.zones.iter().filter_map(|zone| {
            let name = &zone.zone;
            let find =
                |outflows: &[ZoneOutflow]| outflows.iter().find(|flow| flow.from == *name).cloned();
            let is_receiving = wanted
                .iter()
                .flat_map(|flow| &flow.targets)
                .any(|target| target.zone == *name);
            if is_receiving {
                return None;
            }
            let (current, wanted) = (find(&plan.outflows), find(&wanted));
            let current_share = current.as_ref().map_or(0.0, ZoneOutflow::share);
            let wanted_share = wanted.as_ref().map_or(0.0, ZoneOutflow::share);
            let share = if zone.room <= 0.0 {
                wanted_share
            } else {
                next_share(current_share, wanted_share, elapsed)
            };
            let basis = wanted.or(current)?;
            // A target without servers, or one that sends itself by now, receives nothing more.
            let may_receive = |target: &OutflowTarget| {
                let has_room = |zone: &&super::ZoneLoad| zone.zone == target.zone;
                load.zones
                    .iter()
                    .find(has_room)
                    .is_some_and(|zone| zone.room > 0.0)
            };
            scale(basis, share, may_receive)
        });
        let mut outflows: Vec<ZoneOutflow> = outflows.collect();
        let senders: Vec<String> = outflows.iter().map(|flow| flow.from.clone()).collect();
        for outflow in &mut outflows {
            outflow
                .targets
                .retain(|target| !senders.contains(&target.zone));
        }
        outflows.retain(|outflow| !outflow.targets.is_empty());
        plan.outflows = outflows;
    }

    /// Returns the outflows of all services whose data is recent.
    pub fn outflows(&self, now: Timestamp) -> impl Iterator<Item = &ZoneOutflow> {
        let plans = self.plans.values();
        let recent = plans.filter(move |plan| now.since(plan.updated_at) < HOLD_TIME);
        recent.flat_map(|plan| &plan.outflows)
    }
}

/// Returns the share after `elapsed`, on the way from `current` to `wanted`.
fn next_share(current: f64, wanted: f64, elapsed: Duration) -> f64 {
    if (wanted - current).abs() < DEAD_BAND {
        return if wanted > 0.0 { current } else { 0.0 };
    }
    if wanted > current {
        let weight = 1.0 - (-elapsed.as_secs_f64() / RISE_TIME.as_secs_f64()).exp();
        return current + (wanted - current) * weight;
    }
    (current - RETURN_PER_SECOND * elapsed.as_secs_f64()).max(wanted)
}

/// Scales the targets that may receive to a total share; returns `None` if nothing is left.
fn scale(
    mut outflow: ZoneOutflow,
    share: f64,
    may_receive: impl Fn(&OutflowTarget) -> bool,
) -> Option<ZoneOutflow> {
    outflow.targets.retain(may_receive);
    let total = outflow.share();
    if total <= 0.0 || share <= 0.0 {
        return None;
    }
    let factor = (share / total) as f32;
    for target in &mut outflow.targets {
        target.share *= factor;
    }
    Some(outflow)
}
