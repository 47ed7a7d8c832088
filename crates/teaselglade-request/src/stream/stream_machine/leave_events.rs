//! Servers that are leaving, and the move of KV caches.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::{StreamMachine, StreamPhase};
use crate::stream::attempt_plan::PlanStep;
use crate::stream::{AttemptCause, StreamAction};

impl StreamMachine {
    pub(super) fn on_server_leaving(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        deadline: Timestamp,
    ) {
        if self.is_leaving(server) {
            return;
        }
        self.leaving.push((server, deadline));
        if self.phase != StreamPhase::Active {
            return;
        }
        self.replan_move(server);
        if self.server() != Some(server) {
            return;
        }
        if self.ends_before(now, deadline) {
            let margin = self.limits.leave_margin + self.limits.min_move_time;
            let span = (deadline - now).saturating_sub(margin);
            if let Some(attempt) = &mut self.attempt {
                attempt.leave_at = Some(now + span);
            }
            return;
        }
        self.leave_server(now);
    }

    /// Plans the attempt that takes over while the present one still runs.
    pub(super) fn leave_server(&mut self, now: Timestamp) {
        if let Some(attempt) = &mut self.attempt {
            attempt.leave_at = None;
        }
        if self.plan.is_some() {
            return;
        }
        self.start_plan(now, AttemptCause::Reclaim, None);
        self.place();
    }

    /// Returns until when a KV cache may be on its way; none where it must not be moved.
    pub(super) fn move_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        let attempt = self.attempt.as_ref().filter(|attempt| attempt.started)?;
        let mut leaving = self.leaving.iter();
        let (_, deadline) = leaving.find(|(server, _)| *server == attempt.server)?;
        let span = (*deadline - now).checked_sub(self.limits.leave_margin)?;
        (span >= self.limits.min_move_time).then(|| now + span)
    }

    pub(super) fn move_kv(&mut self, target: ServerKey, until: Timestamp) {
        let operation_id = self.next_operation_id();
        let (Some(plan), Some(attempt)) = (&mut self.plan, &self.attempt) else {
            return;
        };
        plan.operation_id = operation_id;
        plan.step = PlanStep::MovingKv { target, until };
        self.actions.push(StreamAction::MoveKv {
            operation_id,
            attempt: attempt.id,
            from: attempt.server,
            to: target,
        });
    }

    pub(super) fn on_kv_moved(&mut self, now: Timestamp, operation_id: u32, handle: String) {
        if let Some(target) = self.move_target(operation_id) {
            self.start_attempt(now, target, Some(handle));
        }
    }

    pub(super) fn on_kv_failed(&mut self, now: Timestamp, operation_id: u32) {
        if let Some(target) = self.move_target(operation_id) {
            self.start_attempt(now, target, None);
        }
    }

    fn move_target(&self, operation_id: u32) -> Option<ServerKey> {
        if self.phase != StreamPhase::Active {
            return None;
        }
        let plan = self
            .plan
            .as_ref()
            .filter(|plan| plan.operation_id == operation_id)?;
        match plan.step {
            PlanStep::MovingKv { target, .. } => Some(target),
            _ => None,
        }
    }

    /// Chooses another target where the present one is leaving as well.
    fn replan_move(&mut self, server: ServerKey) {
        let Some(plan) = &self.plan else {
            return;
        };
        if matches!(plan.step, PlanStep::MovingKv { target, .. } if target == server) {
            self.place();
        }
    }

    /// Returns whether the answer surely ends before the server stops.
    fn ends_before(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let Some(attempt) = &self.attempt else {
            return false;
        };
        let left = self.request.max_tokens - self.delivered.len() as u32;
        let margin = self.limits.leave_margin + self.limits.min_move_time;
        attempt
            .span_for(left)
            .is_some_and(|span| now + span + margin < deadline)
    }
}
