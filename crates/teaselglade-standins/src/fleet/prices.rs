//! Prices of hosts by hardware class.

/// Price of an on-demand host as a multiple of the reclaimable price.
pub const ON_DEMAND_FACTOR: f64 = 3.0;

const OLD_CENTS_PER_HOUR: f64 = 40.0;
const MID_CENTS_PER_HOUR: f64 = 90.0;
const NEW_CENTS_PER_HOUR: f64 = 160.0;
const PLAIN_CENTS_PER_HOUR: f64 = 8.0;

/// Returns the price of a reclaimable host, in euro cents per hour.
///
/// An unknown class costs as much as `old`.
#[must_use]
pub fn class_cents_per_hour(class: &str) -> f64 {
    match class {
        "new" => NEW_CENTS_PER_HOUR,
        "mid" => MID_CENTS_PER_HOUR,
        "plain" => PLAIN_CENTS_PER_HOUR,
        _ => OLD_CENTS_PER_HOUR,
    }
}
