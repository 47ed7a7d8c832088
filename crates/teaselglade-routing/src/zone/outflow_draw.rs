//! Choice of the requests that leave their zone.

use super::ZoneOutflow;

/// Credit below which a request stays, as a share of its own work, if it leaves most willingly.
const BASE_THRESHOLD: f64 = 0.5;

/// Chooses the requests that leave their zone, so that their work follows the planned share.
///
/// Every request adds its part to a credit, and one that leaves is paid for from it. Requests that
/// lose much by leaving wait for more credit, so the others leave first.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::zone::{OutflowDraw, OutflowTarget, ZoneOutflow};
///
/// let outflow = ZoneOutflow {
///     service: "draft-fleet".to_owned(),
///     from: "galway".to_owned(),
///     targets: vec![OutflowTarget { zone: "sligo".to_owned(), share: 0.25 }],
/// };
/// let mut draw = OutflowDraw::default();
/// let left = (0..100).filter(|_| draw.draw(&outflow, 1.0, 0.0).is_some());
/// assert_eq!(left.count(), 25);
/// ```
#[derive(Debug, Clone, Default)]
pub struct OutflowDraw {
    /// Work that may still leave.
    credit: f64,
    /// Work that left for each target so far, less its share.
    balances: Vec<(String, f64)>,
}

impl OutflowDraw {
    /// Returns the zone to which a request of this much work leaves, or `None` if it stays.
    ///
    /// `reluctance` is 0 for a request that loses nothing by leaving, and 1 for one that loses most.
    pub fn draw<'a>(
        &mut self,
        outflow: &'a ZoneOutflow,
        work: f64,
        reluctance: f64,
    ) -> Option<&'a str> {
        let share = outflow.share();
        self.credit += share * work;
        if self.credit < (BASE_THRESHOLD + reluctance.clamp(0.0, 1.0)) * work && share < 1.0 {
            return None;
        }
        self.credit -= work;
        let due = |target: &super::OutflowTarget| {
            let balance = self.balances.iter().find(|(zone, _)| *zone == target.zone);
            f64::from(target.share) / share * work - balance.map_or(0.0, |(_, balance)| *balance)
        };
        let chosen = outflow
            .targets
            .iter()
            .max_by(|a, b| due(a).total_cmp(&due(b)))?;
        let targets = outflow.targets.iter();
        self.balances = targets
            .map(|target| {
                let sent = if target.zone == chosen.zone {
                    work
                } else {
                    0.0
                };
                (target.zone.clone(), sent - due(target))
            })
            .collect();
        Some(&chosen.zone)
    }
}
