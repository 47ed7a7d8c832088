//! Timeouts and other transitions at a given time.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RefusalReason;

use super::{CallerState, StreamMachine, StreamPhase};
use crate::stream::StreamAction;
use crate::stream::attempt_plan::AttemptPlan;

/// Lateness of a timer from which the host counts as paused rather than busy.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time to process the events that queued up while the host was paused.
const CATCH_UP_DELAY: Duration = Duration::from_millis(50);

impl StreamMachine {
    /// Suspends timeouts after a pause of the host, so that queued events are processed first.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        if self
            .timer_at
            .is_some_and(|timer_at| timer_at + PAUSE_THRESHOLD <= now)
        {
            self.catch_up_until = now + CATCH_UP_DELAY;
        }
    }

    /// Applies the timeouts and transitions that are due.
    pub(super) fn check_timers(&mut self, now: Timestamp) {
        if now < self.catch_up_until {
            return;
        }
        match &self.phase {
            StreamPhase::Active => self.check_active(now),
            StreamPhase::Complete { until, .. } | StreamPhase::Refused { until, .. } => {
                if *until <= now {
                    self.discard();
                    return;
                }
                self.check_handover(now);
            }
            StreamPhase::New | StreamPhase::HandingOver { .. } | StreamPhase::Finished => {}
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
        if let CallerState::Disconnected { until } = self.caller
            && until <= now
        {
            self.cancel_attempt();
            self.discard();
            return;
        }
        if self.check_handover(now) {
            return;
        }
        self.check_attempt(now);
        self.check_plan(now);
    }

    /// Requests a timer if the next transition is due before the requested one.
    pub(super) fn arm_timer(&mut self) {
        let Some(due) = self.next_wake_at() else {
            return;
        };
        let at = due.max(self.catch_up_until);
        if self.timer_at.is_none_or(|timer_at| at < timer_at) {
            self.timer_at = Some(at);
            self.actions.push(StreamAction::SetTimer { at });
        }
    }

    fn next_wake_at(&self) -> Option<Timestamp> {
        match &self.phase {
            StreamPhase::Active => self.active_wake_at(),
            StreamPhase::Complete { until, .. } => Some(self.complete_wake_at(*until)),
            StreamPhase::Refused { until, .. } => Some(*until),
            StreamPhase::New | StreamPhase::HandingOver { .. } | StreamPhase::Finished => None,
        }
    }

    fn complete_wake_at(&self, until: Timestamp) -> Timestamp {
        match (self.caller, self.handover_at) {
            (CallerState::Disconnected { .. }, Some(at)) => until.min(at),
            _ => until,
        }
    }

    fn active_wake_at(&self) -> Option<Timestamp> {
        let disconnected_until = match self.caller {
            CallerState::Disconnected { until } => Some(until),
            CallerState::Connected { .. } => None,
        };
        let attempt = self.attempt.as_ref();
        let silent_attempt = attempt.filter(|_| !self.is_replacing_silent());
        let times = [
            Some(self.request.deadline),
            disconnected_until,
            self.handover_at,
            silent_attempt.map(|attempt| attempt.times_out_at(&self.limits)),
            attempt.and_then(|attempt| attempt.leave_at),
            self.plan.as_ref().and_then(AttemptPlan::due_at),
        ];
        times.into_iter().flatten().min()
    }
}
