//! Interval at which a host reads the whole host list.

use std::time::Duration;

const MIN_INTERVAL: Duration = Duration::from_millis(500);
const HOSTS_AT_MIN_INTERVAL: usize = 64;
const INTERVAL_PER_EXTRA_HOST: Duration = Duration::from_millis(100);

/// Returns the time between two reads of a list of `listed` hosts.
///
/// The list can only be read whole, so the interval grows with its size: 100 ms for each host
/// above the first 64, and at least 500 ms. Leaving notices and new entry hosts arrive by gossip
/// and do not depend on this interval.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_state::membership::list_poll_interval;
///
/// assert_eq!(list_poll_interval(40), Duration::from_millis(500));
/// assert_eq!(list_poll_interval(1_590), Duration::from_millis(152_600));
/// ```
#[must_use]
pub fn list_poll_interval(listed: usize) -> Duration {
    let extra_hosts = listed.saturating_sub(HOSTS_AT_MIN_INTERVAL);
    let interval = INTERVAL_PER_EXTRA_HOST * u32::try_from(extra_hosts).unwrap_or(u32::MAX);
    interval.max(MIN_INTERVAL)
}
