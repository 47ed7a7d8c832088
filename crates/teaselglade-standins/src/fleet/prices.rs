//! Prices of hosts.

/// How much dearer an on-demand host is than a reclaimable one.
pub const ON_DEMAND_FACTOR: f64 = 3.0;

const OLD_CENTS: f64 = 40.0;
const MID_CENTS: f64 = 90.0;
const NEW_CENTS: f64 = 160.0;
const PLAIN_CENTS: f64 = 8.0;

/// Returns the price of a reclaimable host of a class, in euro cents an hour.
#[must_use]
pub fn class_cents_per_hour(class: &str) -> f64 {
    match class {
        "new" => NEW_CENTS,
        "mid" => MID_CENTS,
        "plain" => PLAIN_CENTS,
        _ => OLD_CENTS,
    }
}
