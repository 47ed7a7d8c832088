//! Weighted max-min shares.

/// Demand of one claimant, and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareClaim {
    /// Work per second that is asked for.
    pub demand: f64,
    /// Weight relative to other claimants.
    pub weight: f64,
}

/// Returns the weighted max-min share of each claim in `room`, in work per second.
///
/// A claim below its weighted part gets all that it asks for; the rest is divided among the others.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::share::{ShareClaim, max_min_shares};
///
/// let claims = [10.0, 70.0, 70.0].map(|demand| ShareClaim { demand, weight: 1.0 });
/// assert_eq!(max_min_shares(100.0, &claims), [10.0, 45.0, 45.0]);
/// ```
#[must_use]
pub fn max_min_shares(room: f64, claims: &[ShareClaim]) -> Vec<f64> {
    let level = |claim: &ShareClaim| claim.demand / claim.weight;
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_unstable_by(|a, b| level(&claims[*a]).total_cmp(&level(&claims[*b])));
    let mut shares = vec![0.0; claims.len()];
    let mut room_left = room.max(0.0);
    let mut weight_left: f64 = claims.iter().map(|claim| claim.weight).sum();
    for index in order {
        let claim = claims[index];
        let part = room_left * claim.weight / weight_left.max(f64::MIN_POSITIVE);
        // Rounding may leave more weight than room.
        shares[index] = claim.demand.min(part).min(room_left.max(0.0));
        room_left -= shares[index];
        weight_left -= claim.weight;
    }
    shares
}
