//! How often a host reads the whole host list.

use std::time::Duration;

const SHORTEST_INTERVAL: Duration = Duration::from_millis(500);
const HOSTS_READ_FREELY: usize = 64;
const INTERVAL_PER_HOST: Duration = Duration::from_millis(100);

/// Returns the time between two reads of a host list with `listed` hosts.
///
/// The list has no differences to ask for, so that its size sets the pace: 100 ms for each host
/// above the first 64. Notices and new entry hosts come by the exchange and do not wait for it.
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
    let above = listed.saturating_sub(HOSTS_READ_FREELY);
    let paced = INTERVAL_PER_HOST * u32::try_from(above).unwrap_or(u32::MAX);
    paced.max(SHORTEST_INTERVAL)
}
