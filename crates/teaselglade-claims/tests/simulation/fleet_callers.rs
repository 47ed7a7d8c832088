//! Callers of the simulated fleet.

use std::time::Duration;

use rand::Rng as _;
use teaselglade_claims::call::{CallId, CallResult, KeyedCall};
use teaselglade_claims::key::{RequestDigest, ScopedKey};
use teaselglade_claims::shard::ShardEvent;
use teaselglade_core::verdict::ExecutionVerdict;

use super::fleet::NETWORK_DELAY;
use super::{CallPlan, CallRecord, Fleet, Task};

const CALLER_TIMEOUT: Duration = Duration::from_secs(6);
const DEADLINE: Duration = Duration::from_secs(5);

impl Fleet {
    pub(super) fn send(&mut self, plan: CallPlan) {
        let id = self.calls.len() as u64;
        let key = ScopedKey::new("corrib", "ticket-desk", self.key(plan.key));
        let call = KeyedCall {
            key,
            digest: RequestDigest::of("POST", "/tickets", &plan.body.to_le_bytes()),
            is_retry: self.is_unresolved(plan.key),
            deadline: self.host_time(plan.host) + DEADLINE,
        };
        self.record_trace(format!("call {id} key={} host={}", plan.key, plan.host));
        self.calls.push(CallRecord {
            plan,
            sent: self.now,
            answered: None,
            executed: Vec::new(),
            timed_out: false,
        });
        let call_id = CallId::new(id);
        let run = self.current_run(plan.host);
        self.schedule(
            self.now + NETWORK_DELAY,
            Task::Deliver(run, ShardEvent::Submitted { call_id, call }),
        );
        self.schedule(self.now + CALLER_TIMEOUT, Task::CallerTimeout(id));
        if plan.calls > 1 && self.random.random_bool(self.probabilities.hedge) {
            let second = self.retry_plan(plan);
            self.schedule(
                self.now + NETWORK_DELAY * 5,
                Task::Send(CallPlan { calls: 1, ..second }),
            );
        }
    }

    pub(super) fn time_out(&mut self, call: u64) {
        let record = &mut self.calls[call as usize];
        if record.answered.is_some() {
            return;
        }
        record.timed_out = true;
        let plan = record.plan;
        self.record_trace(format!("call {call} got no answer"));
        self.retry_call(plan);
    }

    fn retry_call(&mut self, plan: CallPlan) {
        if plan.calls <= 1 {
            return;
        }
        let plan = self.retry_plan(plan);
        let max_pause_ms = if self.random.random_bool(0.1) {
            400_000
        } else {
            3_000
        };
        let pause = Duration::from_millis(self.random.random_range(0..max_pause_ms));
        self.schedule(self.now + pause, Task::Send(plan));
    }

    fn retry_plan(&self, plan: CallPlan) -> CallPlan {
        CallPlan {
            host: (plan.host + 1) % self.hosts.len(),
            calls: plan.calls - 1,
            ..plan
        }
    }

    /// Returns whether an earlier call with this key got no `NotRun` verdict.
    fn is_unresolved(&self, key: u32) -> bool {
        let earlier = self.calls.iter().filter(|call| call.plan.key == key);
        let is_not_run = |call: &CallRecord| {
            let refusal = call
                .answered
                .as_ref()
                .and_then(|(_, result)| result.as_ref().err());
            refusal.is_some_and(|refusal| refusal.verdict == ExecutionVerdict::NotRun)
        };
        earlier.into_iter().any(|call| !is_not_run(call))
    }

    pub(super) fn answer(&mut self, call_id: CallId, result: CallResult) {
        let record = &mut self.calls[call_id.index()];
        if record.timed_out {
            return;
        }
        let text = match &result {
            Ok(answer) => format!("{} replayed={}", answer.status, answer.replayed),
            Err(refusal) => format!("{:?} {:?}", refusal.verdict, refusal.reason),
        };
        let plan = result.is_err().then_some(record.plan);
        record.answered = Some((self.now, result));
        self.record_trace(format!("call {} answered: {text}", call_id.index()));
        if let Some(plan) = plan {
            self.retry_call(plan);
        }
    }
}
