//! Departures of servers and moves of KV caches.

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
        self.leaving_servers.push((server, deadline));
        if self.phase != StreamPhase::Active {
            return;
        }
        self.redirect_move(server);
        if self.server() != Some(server) {
            return;
        }
        if self.ends_before(now, deadline) {
            let margin = self.limits.leave_margin + self.limits.min_move_time;
            let delay = (deadline - now).saturating_sub(margin);
            if let Some(attempt) = &mut self.attempt {
                attempt.leave_at = Some(now + delay);
            }
            return;
        }
        self.leave_server(now);
    }

    /// Plans the replacement of the current attempt while it still runs.
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

    /// Returns when a move of the KV cache must be finished, or `None` if it must not be moved.
    pub(super) fn move_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        let attempt = self
            .attempt
            .as_ref()
            .filter(|attempt| attempt.has_started)?;
        let mut leaving_servers = self.leaving_servers.iter();
        let (_, deadline) = leaving_servers.find(|(server, _)| *server == attempt.server)?;
        let time_left = (*deadline - now).checked_sub(self.limits.leave_margin)?;
        (time_left >= self.limits.min_move_time).then(|| now + time_left)
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

    /// Chooses another target for a move whose target is leaving as well.
    fn redirect_move(&mut self, server: ServerKey) {
        let Some(plan) = &self.plan else {
            return;
        };
        if matches!(plan.step, PlanStep::MovingKv { target, .. } if target == server) {
            self.place();
        }
    }

    /// Returns whether the response is expected to end well before the server stops.
    fn ends_before(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let Some(attempt) = &self.attempt else {
            return false;
        };
        let remaining_tokens = self.request.max_tokens - self.delivered.len() as u32;
        let margin = self.limits.leave_margin + self.limits.min_move_time;
        attempt
            .estimate_duration(remaining_tokens)
            .is_some_and(|remaining| now + remaining + margin < deadline)
    }
}
