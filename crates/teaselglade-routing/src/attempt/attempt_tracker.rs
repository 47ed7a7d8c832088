//! Tracks the attempts of one request and decides the next step.

use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::ExecutionVerdict;

use super::AttemptOutcome;
use crate::table::RetryPolicy;

/// Maximum failed connections of one request; each costs at least one round trip.
const MAX_FAILED_CONNECTIONS: u32 = 3;

/// Next step after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another server without the retry budget, as the request was not sent.
    Reconnect,
    /// Try another server if the retry budget permits.
    RetryWithinBudget,
    /// End the request with this verdict.
    GiveUp(ExecutionVerdict),
}

/// Tracks the attempts of one request, and whether it may have run.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::ServerKey;
/// use teaselglade_core::verdict::ExecutionVerdict;
/// use teaselglade_routing::attempt::{AttemptTracker, AttemptOutcome, NextStep};
/// use teaselglade_routing::table::RetryPolicy;
///
/// let mut tracker = AttemptTracker::new(RetryPolicy::Never, 3);
/// tracker.begin_attempt(ServerKey::new(1));
/// let next = tracker.end_attempt(ServerKey::new(1), AttemptOutcome::Broken);
/// assert_eq!(next, NextStep::GiveUp(ExecutionVerdict::MayHaveRun));
/// ```
#[derive(Debug, Clone)]
pub struct AttemptTracker {
    retry_policy: RetryPolicy,
    max_attempts: u32,
    /// Servers to which the request was sent.
    sent: Vec<ServerKey>,
    /// Servers that could not be reached.
    unreachable: Vec<ServerKey>,
    verdict: ExecutionVerdict,
}

impl AttemptTracker {
    /// Creates the tracker of a request that was not sent yet.
    #[must_use]
    pub fn new(retry_policy: RetryPolicy, max_attempts: u32) -> Self {
        Self {
            retry_policy,
            max_attempts: max_attempts.max(1),
            sent: Vec::new(),
            unreachable: Vec::new(),
            verdict: ExecutionVerdict::NotRun,
        }
    }

    /// Records that the request is about to be sent to a server.
    pub fn begin_attempt(&mut self, server: ServerKey) {
        self.sent.push(server);
    }

    /// Records the outcome of an attempt and returns the next step.
    pub fn end_attempt(&mut self, server: ServerKey, outcome: AttemptOutcome) -> NextStep {
        if outcome == AttemptOutcome::Unreachable {
            self.sent.retain(|sent| *sent != server);
            self.unreachable.push(server);
            return if self.unreachable.len() < MAX_FAILED_CONNECTIONS as usize {
                NextStep::Reconnect
            } else {
                NextStep::GiveUp(self.verdict)
            };
        }
        if outcome == AttemptOutcome::Withheld {
            self.sent.retain(|sent| *sent != server);
            return NextStep::Reconnect;
        }
        if outcome.may_have_run() {
            let progress = teaselglade_core::verdict::SendProgress::MaybeSent;
            self.verdict = self.verdict.and(ExecutionVerdict::after_attempt(progress));
        }
        let is_retryable = !outcome.may_have_run() || self.retry_policy.allows_retry();
        if is_retryable && self.may_send() {
            NextStep::RetryWithinBudget
        } else {
            NextStep::GiveUp(self.verdict)
        }
    }

    /// Returns whether the request may be sent to another server.
    #[must_use]
    pub fn may_send(&self) -> bool {
        (self.sent.len() as u32) < self.max_attempts
    }

    /// Returns whether a hedged attempt may run beside the first.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.retry_policy == RetryPolicy::Restart && self.may_send()
    }

    /// Returns whether a silent attempt may get a standby at another server.
    #[must_use]
    pub fn may_move(&self) -> bool {
        let may_connect = self.unreachable.len() < MAX_FAILED_CONNECTIONS as usize;
        self.retry_policy == RetryPolicy::Resume && self.may_send() && may_connect
    }

    /// Returns the servers that must not be tried again.
    #[must_use]
    pub fn tried(&self) -> Vec<ServerKey> {
        self.sent.iter().chain(&self.unreachable).copied().collect()
    }

    /// Returns the number of servers to which the request was sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.sent.len() as u32
    }

    /// Returns whether the request may have run, judged by the attempts that ended.
    ///
    /// An open attempt may have run as well; its verdict is known only at its end.
    #[must_use]
    pub const fn verdict(&self) -> ExecutionVerdict {
        self.verdict
    }
}
