//! Planning of the next attempt.

use teaselglade_core::id::ServerKey;
use teaselglade_core::port::GenerateCall;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::{StreamMachine, StreamPhase, is_retry};
use crate::retry::RetryDecision;
use crate::stream::active_attempt::ActiveAttempt;
use crate::stream::attempt_plan::{AttemptPlan, LostAttempt, PlanStep};
use crate::stream::{AttemptCause, PlacementPurpose, StreamAction};

impl StreamMachine {
    pub(super) fn on_admitted(&mut self, now: Timestamp, prefer: Option<ServerKey>) {
        if self.phase != StreamPhase::New {
            return;
        }
        self.phase = StreamPhase::Active;
        self.preferred_server = prefer;
        let cause = match self.generation {
            0 => AttemptCause::First,
            _ => AttemptCause::Handover,
        };
        self.start_plan(now, cause, None);
        self.place();
    }

    /// Plans the attempt that replaces a lost one.
    ///
    /// A reconnection to a server that caches the whole prefix adds almost no load, so each request
    /// may use one outside the retry budget.
    pub(super) fn replace_attempt(
        &mut self,
        now: Timestamp,
        cause: AttemptCause,
        lost: LostAttempt,
    ) {
        if let Some(plan) = &mut self.plan {
            plan.give_up_at = now + self.limits.placement_timeout;
            // An export may end the attempt before its cache arrives.
            if let PlanStep::MovingKv { until, .. } = &mut plan.step {
                *until = (*until).min(now + self.limits.move_grace);
            }
            return;
        }
        if !is_retry(cause) {
            self.start_plan(now, cause, None);
            self.place();
            return;
        }
        self.retries += 1;
        if self.retries > self.limits.max_retries {
            if self.keep_attempt(now) {
                return;
            }
            let detail = "the request used all its retries";
            self.refuse(now, RefusalReason::AttemptFailed, detail, None);
            return;
        }
        self.start_plan(now, cause, lost.reconnect_to);
        if lost.is_prefix_cached && !self.has_reconnected {
            self.has_reconnected = true;
            self.end_backoff(now);
            return;
        }
        self.request_retry(lost.server);
    }

    pub(super) fn on_retry_decided(
        &mut self,
        now: Timestamp,
        operation_id: u32,
        decision: RetryDecision,
    ) {
        let Some(plan) = self.plan_awaiting(operation_id, PlanStep::AwaitingBudget) else {
            return;
        };
        match decision {
            RetryDecision::Granted { delay } => {
                plan.step = PlanStep::BackingOff { until: now + delay };
                self.check_plan(now);
            }
            RetryDecision::Denied { .. } if self.keep_attempt(now) => {}
            RetryDecision::Denied { retry_after } => {
                let detail = "the service's retry budget is spent";
                self.refuse(now, RefusalReason::AttemptFailed, detail, Some(retry_after));
            }
        }
    }

    /// Lets a silent attempt go on if there is one; returns whether there is.
    ///
    /// A retry that was not made does not count.
    fn keep_attempt(&mut self, now: Timestamp) -> bool {
        let Some(attempt) = &mut self.attempt else {
            return false;
        };
        attempt.extend(now);
        self.retries = self.retries.saturating_sub(1);
        self.plan = None;
        true
    }

    pub(super) fn on_placed(&mut self, now: Timestamp, operation_id: u32, server: ServerKey) {
        if self
            .plan_awaiting(operation_id, PlanStep::Placing)
            .is_none()
        {
            return;
        }
        if self.is_leaving(server) {
            self.delay_placement(now);
            return;
        }
        if let Some(until) = self.move_deadline(now) {
            self.move_kv(server, until);
            return;
        }
        self.start_attempt(now, server, None);
    }

    pub(super) fn on_not_placed(
        &mut self,
        now: Timestamp,
        operation_id: u32,
        refusal: &RequestRefusal,
    ) {
        let Some(plan) = self.plan_awaiting(operation_id, PlanStep::Placing) else {
            return;
        };
        let is_first = plan.cause == AttemptCause::First;
        let is_late = plan.give_up_at <= now;
        if is_first || (is_late && self.attempt.is_none()) {
            self.refuse(now, refusal.reason, &refusal.detail, refusal.retry_after);
            return;
        }
        self.delay_placement(now);
    }

    /// Continues a plan whose current step is due.
    pub(super) fn check_plan(&mut self, now: Timestamp) {
        let Some(plan) = &self.plan else {
            return;
        };
        if plan.due_at().is_none_or(|at| at > now) {
            return;
        }
        match plan.step {
            PlanStep::AwaitingBudget | PlanStep::Placing => {}
            PlanStep::BackingOff { .. } => self.end_backoff(now),
            PlanStep::PlacementDelay { .. } => self.place(),
            PlanStep::MovingKv { target, .. } => self.start_attempt(now, target, None),
        }
    }

    pub(super) fn start_plan(
        &mut self,
        now: Timestamp,
        cause: AttemptCause,
        reconnect_to: Option<ServerKey>,
    ) {
        let operation_id = self.next_operation_id();
        self.plan = Some(AttemptPlan {
            operation_id,
            cause,
            reconnect_to,
            give_up_at: now + self.limits.placement_timeout,
            step: PlanStep::Placing,
        });
    }

    pub(super) fn place(&mut self) {
        let operation_id = self.next_operation_id();
        let Some(plan) = &mut self.plan else {
            return;
        };
        plan.operation_id = operation_id;
        plan.step = PlanStep::Placing;
        let purpose = match plan.cause {
            AttemptCause::First => PlacementPurpose::First,
            _ => PlacementPurpose::Continue,
        };
        let leaving_servers = self.leaving_servers.iter().map(|(server, _)| *server);
        let exclude = self.failed_servers.iter().copied().chain(leaving_servers);
        let exclude = exclude.collect::<Vec<_>>();
        let prefer = self
            .preferred_server
            .filter(|server| !exclude.contains(server));
        self.actions.push(StreamAction::Place {
            operation_id,
            exclude,
            prefer,
            purpose,
        });
    }

    /// Starts the planned attempt and cancels the current one, or keeps it as the fallback if it is silent.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        kv_handle: Option<String>,
    ) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        if plan.cause == AttemptCause::Timeout && self.fallback.is_none() {
            self.fallback = self.attempt.take();
        } else {
            // An attempt that replaced a silent one and sent nothing is no better than that one.
            let fallback = self.fallback.take();
            self.cancel_attempt();
            self.fallback = fallback.filter(|_| plan.cause == AttemptCause::Timeout);
        }
        let id = self.next_attempt();
        let mut attempt = ActiveAttempt::new(id, server, plan.cause, now);
        attempt.is_reconnect = plan.reconnect_to == Some(server);
        self.counters.count_attempt(plan.cause);
        self.actions.push(StreamAction::Dispatch {
            server,
            call: GenerateCall {
                attempt: id,
                prompt: self.request.prompt.clone(),
                max_tokens: self.request.max_tokens,
                delivered: self.delivered.clone(),
                adapter: self.request.adapter.clone(),
                priority: self.request.priority,
                kv_handle,
            },
            cause: plan.cause,
            fresh_connection: is_retry(plan.cause),
        });
        self.attempt = Some(attempt);
    }

    fn plan_awaiting(&mut self, operation_id: u32, step: PlanStep) -> Option<&mut AttemptPlan> {
        let is_active = self.phase == StreamPhase::Active;
        let plan = self.plan.as_mut().filter(|_| is_active)?;
        (plan.operation_id == operation_id && plan.step == step).then_some(plan)
    }

    fn request_retry(&mut self, lost: ServerKey) {
        let retry = self.retries;
        if let Some(plan) = &mut self.plan {
            plan.step = PlanStep::AwaitingBudget;
            let operation_id = plan.operation_id;
            self.actions.push(StreamAction::RequestRetry {
                operation_id,
                retry,
                lost,
            });
        }
    }

    fn end_backoff(&mut self, now: Timestamp) {
        let reconnect_to = self.plan.as_ref().and_then(|plan| plan.reconnect_to);
        match reconnect_to.filter(|server| !self.is_leaving(*server)) {
            Some(server) => self.start_attempt(now, server, None),
            None => self.place(),
        }
    }

    /// Delays the next placement, which may use servers that failed before.
    ///
    /// They may have recovered by then.
    fn delay_placement(&mut self, now: Timestamp) {
        let until = now + self.limits.placement_retry_delay;
        if let Some(plan) = &mut self.plan {
            plan.step = PlanStep::PlacementDelay { until };
        }
        self.failed_servers.clear();
    }
}
