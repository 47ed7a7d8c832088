//! What happens at a time rather than by an event.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RefusalReason;

use super::{CallerState, StreamMachine, StreamPhase};
use crate::stream::StreamAction;
use crate::stream::attempt_plan::AttemptPlan;

/// Lateness of a timer that tells a paused host from a busy one.
const LATE_WAKE: Duration = Duration::from_secs(1);
/// Time in which a host that was paused hears what happened meanwhile.
const SETTLE_SPAN: Duration = Duration::from_millis(50);

impl StreamMachine {
    /// Holds due steps back where the host was paused, until it heard the news of that time.
    pub(super) fn note_late_wake(&mut self, now: Timestamp) {
        if self.armed.is_some_and(|armed| armed + LATE_WAKE <= now) {
            self.settle_until = now + SETTLE_SPAN;
        }
    }

    pub(super) fn check_due(&mut self, now: Timestamp) {
        if now < self.settle_until {
            return;
        }
        match &self.phase {
            StreamPhase::Active => self.check_active(now),
            StreamPhase::Whole { until, .. } | StreamPhase::Refused { until, .. } => {
                if *until <= now {
                    self.end();
                    return;
                }
                self.check_handover(now);
            }
            StreamPhase::New | StreamPhase::HandingOver { .. } | StreamPhase::Over => {}
        }
    }

    fn check_active(&mut self, now: Timestamp) {
        if self.request.deadline <= now {
            self.refuse(
                now,
                RefusalReason::DeadlineExceeded,
                "the answer is not whole",
                None,
            );
            return;
        }
        if let CallerState::Gone { until } = self.caller
            && until <= now
        {
            self.cancel_attempt();
            self.end();
            return;
        }
        if self.check_handover(now) {
            return;
        }
        self.check_attempt(now);
        self.check_plan(now);
    }

    pub(super) fn arm_timer(&mut self) {
        let Some(due) = self.wake_at() else {
            return;
        };
        let at = due.max(self.settle_until);
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            self.actions.push(StreamAction::SetTimer { at });
        }
    }

    fn wake_at(&self) -> Option<Timestamp> {
        match &self.phase {
            StreamPhase::Active => self.active_wake(),
            StreamPhase::Whole { until, .. } => Some(self.whole_wake(*until)),
            StreamPhase::Refused { until, .. } => Some(*until),
            StreamPhase::New | StreamPhase::HandingOver { .. } | StreamPhase::Over => None,
        }
    }

    fn whole_wake(&self, until: Timestamp) -> Timestamp {
        match (self.caller, self.handover_at) {
            (CallerState::Gone { .. }, Some(at)) => until.min(at),
            _ => until,
        }
    }

    fn active_wake(&self) -> Option<Timestamp> {
        let gone_until = match self.caller {
            CallerState::Gone { until } => Some(until),
            CallerState::Present { .. } => None,
        };
        let attempt = self.attempt.as_ref();
        let times = [
            Some(self.request.deadline),
            gone_until,
            self.handover_at,
            attempt.map(|attempt| attempt.silent_at(&self.limits)),
            attempt.and_then(|attempt| attempt.leave_at),
            self.plan.as_ref().and_then(AttemptPlan::due_at),
        ];
        times.into_iter().flatten().min()
    }
}
