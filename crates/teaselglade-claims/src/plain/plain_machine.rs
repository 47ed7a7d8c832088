//! State machine of a plain call without a claim.

use teaselglade_core::port::{AttemptError, PlainAnswer};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use super::{PermitDecision, PlainAction, PlainEvent, RetryPermit};

teaselglade_core::value_type! {
    /// Whether a plain call can safely be retried.
    pub enum RetrySafety {
        /// Running it more than once is harmless.
        Idempotent,
        /// It must run at most once, although it has no idempotency key.
        #[serde(rename = "once")]
        AtMostOnce,
    }
}

/// State machine of a plain call without a claim.
///
/// A call that must run at most once is retried only while every attempt is known not to have run.
///
/// # Examples
///
/// ```
/// use teaselglade_claims::plain::{
///     PermitDecision, PlainAction, PlainEvent, PlainMachine, RetryPermit, RetrySafety,
/// };
/// use teaselglade_core::time::Timestamp;
/// # use std::time::Duration;
/// # #[derive(Debug)]
/// # struct Never;
/// # impl RetryPermit for Never {
/// #     fn request_retry(&mut self, _: Timestamp, _: Timestamp, _: u32) -> PermitDecision {
/// #         PermitDecision::Denied { retry_after: Duration::from_secs(1) }
/// #     }
/// # }
///
/// let deadline = Timestamp::from_millis(5_000);
/// let mut machine = PlainMachine::new(RetrySafety::AtMostOnce, deadline);
/// let actions = machine.on_event(Timestamp::ZERO, PlainEvent::Started, &mut Never);
/// assert_eq!(actions, [PlainAction::Dispatch { attempt: 1 }]);
/// ```
#[derive(Debug, Clone)]
pub struct PlainMachine {
    retry_safety: RetrySafety,
    deadline: Timestamp,
    attempt: u32,
    verdict: ExecutionVerdict,
    retry_at: Option<Timestamp>,
    ended: bool,
}

impl PlainMachine {
    /// Creates the machine of one call.
    #[must_use]
    pub const fn new(retry_safety: RetrySafety, deadline: Timestamp) -> Self {
        Self {
            retry_safety,
            deadline,
            attempt: 0,
            verdict: ExecutionVerdict::NotRun,
            retry_at: None,
            ended: false,
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn on_event(
        &mut self,
        now: Timestamp,
        event: PlainEvent,
        permit: &mut dyn RetryPermit,
    ) -> Vec<PlainAction> {
        if self.ended {
            return Vec::new();
        }
        match event {
            PlainEvent::Started if self.attempt == 0 => self.dispatch(now),
            PlainEvent::Attempted(Ok(answer)) => self.end(Ok(answer)),
            PlainEvent::Attempted(Err(error)) => self.on_failure(now, &error, permit),
            PlainEvent::Woken => self.on_woken(now),
            PlainEvent::Started => Vec::new(),
        }
    }

    fn on_failure(
        &mut self,
        now: Timestamp,
        error: &AttemptError,
        permit: &mut dyn RetryPermit,
    ) -> Vec<PlainAction> {
        self.verdict = self
            .verdict
            .and(ExecutionVerdict::after_attempt(error.progress));
        let refusal = RequestRefusal::with_verdict(
            self.verdict,
            RefusalReason::AttemptFailed,
            error.detail.as_str(),
        );
        if self.retry_safety == RetrySafety::AtMostOnce && self.verdict != ExecutionVerdict::NotRun
        {
            return self.end(Err(refusal));
        }
        match permit.request_retry(now, self.deadline, self.attempt) {
            PermitDecision::Granted { delay } => {
                let at = now + delay;
                self.retry_at = Some(at);
                vec![PlainAction::WakeAt(at)]
            }
            PermitDecision::Denied { retry_after } => {
                self.end(Err(refusal.retry_after(retry_after)))
            }
        }
    }

    fn on_woken(&mut self, now: Timestamp) -> Vec<PlainAction> {
        match self.retry_at {
            Some(at) if at <= now => {
                self.retry_at = None;
                self.dispatch(now)
            }
            _ => Vec::new(),
        }
    }

    fn dispatch(&mut self, now: Timestamp) -> Vec<PlainAction> {
        if now >= self.deadline {
            let detail = "the deadline passed before the call could be sent";
            let reason = RefusalReason::DeadlineExceeded;
            return self.end(Err(RequestRefusal::with_verdict(
                self.verdict,
                reason,
                detail,
            )));
        }
        self.attempt += 1;
        vec![PlainAction::Dispatch {
            attempt: self.attempt,
        }]
    }

    fn end(&mut self, result: Result<PlainAnswer, RequestRefusal>) -> Vec<PlainAction> {
        self.ended = true;
        vec![PlainAction::Answer(result)]
    }
}
