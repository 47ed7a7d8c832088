//! Times and bounds of the control role.

use std::time::Duration;

/// Times and bounds of the control role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlLimits {
    /// Most host orders without an answer.
    pub max_open_orders: usize,
    /// Most calls to engines without an answer.
    pub max_open_engine_calls: usize,
    /// Age from which a list of hosts is too old to order by.
    pub max_list_age: Duration,
    /// Time between two reads of both lists of hosts after a change.
    pub busy_interval: Duration,
    /// Time between two reads of both lists of hosts when nothing changes.
    pub idle_interval: Duration,
    /// Time between two reads of the notices.
    pub notices_interval: Duration,
    /// Time between two reads of an engine that refuses old numbers.
    pub fenced_interval: Duration,
    /// Time between two reads of an engine that ignores numbers.
    pub unfenced_interval: Duration,
    /// Time after a takeover in which engines that ignore numbers get no order.
    pub unfenced_wait: Duration,
    /// Time between two load reports of one server.
    pub report_interval: Duration,
    /// Time between two load reports of a server that drains.
    pub drain_interval: Duration,
    /// Back-off after the first refusal of an offer.
    pub initial_backoff: Duration,
    /// Longest back-off.
    pub max_backoff: Duration,
    /// Time in which an offer is avoided after one of its hosts got a notice.
    pub reclaim_backoff: Duration,
    /// Time without a place in the host list after which a host counts as failed.
    pub absence_timeout: Duration,
    /// Time after its deadline at which a notice is forgotten.
    pub notice_retention: Duration,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            max_open_orders: 8,
            max_open_engine_calls: 16,
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
