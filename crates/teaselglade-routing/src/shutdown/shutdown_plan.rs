//! Decides which requests a stopping host accepts, and when it ends accepting and answering.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

/// Time after the signal was noticed in which new connections are still accepted.
///
/// The platform probes readiness once a second and removes a host after two failed probes.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Time before the platform kills the process at which open requests are aborted.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time in which almost every answer ends, whatever the limit of its route.
const LIKELY_ANSWER_TIME: Duration = Duration::from_millis(4_500);
/// Delay after which a refused caller is asked to send again; another host takes the request.
const OTHER_HOST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Times of a host's shutdown, counted from the signal even if that was noticed late.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::shutdown::ShutdownPlan;
///
/// let signalled_at = Timestamp::from_millis(1_000);
/// let plan = ShutdownPlan::new(signalled_at, signalled_at, Duration::from_secs(8));
/// assert_eq!(plan.answers_end_at(), Timestamp::from_millis(8_500));
/// let now = Timestamp::from_millis(5_000);
/// assert!(plan.admit(now, Timestamp::from_millis(6_000)).is_ok());
/// assert!(plan.admit(now, Timestamp::from_millis(15_000)).is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    accepting_ends_at: Timestamp,
    earliest_kill: Timestamp,
    answers_end_at: Timestamp,
}

impl ShutdownPlan {
    /// Plans the shutdown of a process that is killed `grace_period` after the signal.
    ///
    /// `signalled_at` is the earliest time at which the signal may have been sent; readiness
    /// probes fail from `noticed_at` on. Requests are accepted by the first of them. Answers that are
    /// open go on by the second, as the signal may have been sent just then.
    #[must_use]
    pub fn new(signalled_at: Timestamp, noticed_at: Timestamp, grace_period: Duration) -> Self {
        let time_to_kill = grace_period.saturating_sub(KILL_MARGIN);
        Self {
            accepting_ends_at: noticed_at + DRAIN_DELAY.min(time_to_kill),
            earliest_kill: signalled_at + time_to_kill,
            answers_end_at: noticed_at + time_to_kill,
        }
    }

    /// Returns when new connections are no longer accepted.
    #[must_use]
    pub const fn accepting_ends_at(&self) -> Timestamp {
        self.accepting_ends_at
    }

    /// Returns when answers that are still open are ended.
    #[must_use]
    pub const fn answers_end_at(&self) -> Timestamp {
        self.answers_end_at
    }

    /// Accepts a request that must be answered by `deadline` if its answer can end in time.
    ///
    /// The process is expected to be killed by the earliest time of the signal.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if the process may end before the answer.
    pub fn admit(&self, now: Timestamp, deadline: Timestamp) -> Result<(), RequestRefusal> {
        let time_left = self.earliest_kill.since(now);
        if deadline <= self.earliest_kill || time_left >= LIKELY_ANSWER_TIME {
            return Ok(());
        }
        let detail = format!(
            "this host stops in {} ms, the request may take {} ms",
            time_left.as_millis(),
            deadline.since(now).as_millis()
        );
        let refusal = RequestRefusal::not_run(RefusalReason::NotReady, detail);
        Err(refusal.retry_after(OTHER_HOST_RETRY_DELAY))
    }
}
