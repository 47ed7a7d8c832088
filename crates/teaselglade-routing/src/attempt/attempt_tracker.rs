//! Decides what follows an attempt at a server.

use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::ExecutionVerdict;

use super::AttemptOutcome;
use crate::table::RetryPolicy;

/// Most failed connections of one request; each costs a round trip at least.
const MAX_UNREACHABLE: u32 = 3;

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another server may be tried without asking the retry budget, as nothing arrived.
    Reconnect,
    /// Another server may be tried if the retry budget grants it.
    RetryWithinBudget,
    /// The request gets its final answer.
    GiveUp(ExecutionVerdict),
}

/// Attempts of one request, and whether it may have run.
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
    /// Servers that the request was sent to.
    sent: Vec<ServerKey>,
    /// Servers that could not be reached.
    unreachable: Vec<ServerKey>,
    verdict: ExecutionVerdict,
}

impl AttemptTracker {
    /// Makes the ledger of a request that was not sent yet.
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

    /// Notes that the request is about to be sent.
    pub fn begin_attempt(&mut self, server: ServerKey) {
        self.sent.push(server);
    }

    /// Notes how an attempt ended and returns what follows.
    pub fn end_attempt(&mut self, server: ServerKey, outcome: AttemptOutcome) -> NextStep {
        if outcome == AttemptOutcome::Unreachable {
            self.sent.retain(|sent| *sent != server);
            self.unreachable.push(server);
            return if self.unreachable.len() < MAX_UNREACHABLE as usize {
                NextStep::Reconnect
            } else {
                NextStep::GiveUp(self.verdict)
            };
        }
        if outcome.may_have_run() {
            let progress = teaselglade_core::verdict::SendProgress::MaybeSent;
            self.verdict = self.verdict.and(ExecutionVerdict::after_attempt(progress));
        }
        let repeatable = !outcome.may_have_run() || self.retry_policy.allows_retry();
        if repeatable && self.may_send() {
            NextStep::RetryWithinBudget
        } else {
            NextStep::GiveUp(self.verdict)
        }
    }

    /// Returns whether the request may be sent to one more server.
    #[must_use]
    pub fn may_send(&self) -> bool {
        (self.sent.len() as u32) < self.max_attempts
    }

    /// Returns whether a second attempt may run beside the first.
    #[must_use]
    pub fn may_hedge(&self) -> bool {
        self.retry_policy == RetryPolicy::Restart && self.may_send()
    }

    /// Returns the servers that must not be tried again.
    #[must_use]
    pub fn tried(&self) -> Vec<ServerKey> {
        self.sent.iter().chain(&self.unreachable).copied().collect()
    }

    /// Returns how many servers the request was sent to.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.sent.len() as u32
    }

    /// Returns whether the request may have run.
    ///
    /// While an attempt is open it may have; only its end can tell otherwise.
    #[must_use]
    pub const fn verdict(&self) -> ExecutionVerdict {
        self.verdict
    }
}
