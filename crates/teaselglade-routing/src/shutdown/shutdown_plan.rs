//! Decides which requests a stopping host accepts, and when it ends accepting and answering.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

/// Time after the signal was noticed in which new connections are still accepted.
///
/// The platform probes readiness once a second and removes a host after two failed probes.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Time before the platform kills the process by which answers should have ended.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time before the end of a grace period that began with the notice, until which no answer is aborted.
///
/// The signal may be as new as its notice, and answers that are aborted early are lost in vain.
const ABORT_MARGIN: Duration = Duration::from_millis(1_250);
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
    /// Time by which the answer to an accepted request should end.
    last_deadline: Timestamp,
    answers_end_at: Timestamp,
}

impl ShutdownPlan {
    /// Plans the shutdown of a process that is killed `grace_period` after the signal.
    ///
    /// `signalled_at` is the earliest time at which the signal may have been sent; readiness
    /// probes fail from `noticed_at` on.
    #[must_use]
    pub fn new(signalled_at: Timestamp, noticed_at: Timestamp, grace_period: Duration) -> Self {
        let last_deadline = signalled_at + grace_period.saturating_sub(KILL_MARGIN);
        let abort_at = noticed_at + grace_period.saturating_sub(ABORT_MARGIN);
        let answers_end_at = last_deadline.max(abort_at);
        let accepting_ends_at = (noticed_at + DRAIN_DELAY).min(answers_end_at);
        Self {
            accepting_ends_at,
            last_deadline,
            answers_end_at,
        }
    }

    /// Returns when new connections are no longer accepted.
    #[must_use]
    pub const fn accepting_ends_at(&self) -> Timestamp {
        self.accepting_ends_at
    }

    /// Returns when answers that are still open are aborted.
    ///
    /// An old signal moves it less than the deadlines of requests that are accepted.
    #[must_use]
    pub const fn answers_end_at(&self) -> Timestamp {
        self.answers_end_at
    }

    /// Accepts a request that must be answered by `deadline` if its answer can end in time.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if the process may end before the answer.
    pub fn admit(&self, now: Timestamp, deadline: Timestamp) -> Result<(), RequestRefusal> {
        let time_left = self.last_deadline.since(now);
        if deadline <= self.last_deadline || time_left >= LIKELY_ANSWER_TIME {
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
