//! Intervals, timeouts and limits of the control role.

use std::time::Duration;

/// Intervals, timeouts and limits of the control role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlLimits {
    /// Maximum number of host orders in flight.
    pub max_orders_in_flight: usize,
    /// Maximum number of calls to engines in flight.
    pub max_engine_calls_in_flight: usize,
    /// Maximum age of a host list for ordering or releasing hosts.
    pub max_list_age: Duration,
    /// Interval between reads of both host lists after a change.
    pub busy_interval: Duration,
    /// Maximum interval between reads of both host lists while nothing changes.
    pub idle_interval: Duration,
    /// Interval between reads of the reclaim notices.
    pub notices_interval: Duration,
    /// Interval between reads of an engine that rejects outdated fencing numbers.
    pub fenced_interval: Duration,
    /// Interval between reads of an engine that ignores fencing numbers.
    pub unfenced_interval: Duration,
    /// Time after a takeover in which engines that ignore fencing numbers get no order.
    pub unfenced_wait: Duration,
    /// Interval between reads of a server's load report.
    pub report_interval: Duration,
    /// Interval between reads of a draining server's load report.
    pub drain_interval: Duration,
    /// Backoff after the first rejection of an offer.
    pub initial_backoff: Duration,
    /// Maximum backoff after repeated rejections.
    pub max_backoff: Duration,
    /// Time for which an offer is avoided after one of its hosts got a reclaim notice.
    pub reclaim_backoff: Duration,
    /// Time of absence from the host list after which a host counts as failed.
    pub absence_timeout: Duration,
    /// Time for which a reclaim notice is kept after its deadline.
    pub notice_retention: Duration,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            max_orders_in_flight: 8,
            max_engine_calls_in_flight: 16,
            max_list_age: Duration::from_secs(30),
            busy_interval: Duration::from_secs(5),
            idle_interval: Duration::from_mins(3),
            notices_interval: Duration::from_secs(1),
            fenced_interval: Duration::from_mins(1),
            unfenced_interval: Duration::from_secs(15),
            unfenced_wait: Duration::from_secs(5),
            report_interval: Duration::from_mins(1),
            drain_interval: Duration::from_secs(2),
            initial_backoff: Duration::from_secs(5),
            max_backoff: Duration::from_mins(5),
            reclaim_backoff: Duration::from_mins(1),
            absence_timeout: Duration::from_mins(5),
            notice_retention: Duration::from_hours(1),
        }
    }
}
