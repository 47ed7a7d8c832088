//! Engine events of a run: attempts, steps and tokens.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_placement::policy::PlacementEvent;

use super::bench_event::BenchEvent;
use super::bench_run::BenchRun;
use super::request_state::AttemptState;
use crate::engine::{EngineAttempt, GeneratedToken};
use crate::report::RequestOutcome;

impl BenchRun {
    pub(super) fn submit_attempt(&mut self, now: Timestamp, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        let server = &mut self.servers[attempt.server];
        if !server.is_up {
            self.fail_attempt(now, attempt_index, 0);
            return;
        }
        if server.meter.start(now) {
            server.engine.clear_cache();
        }
        let state = &self.requests[attempt.request];
        server.engine.submit(EngineAttempt {
            attempt_index,
            prompt_tokens: state.prompt_tokens(),
            output_tokens: state.plan.output_tokens - state.delivered_tokens,
            prefix: Arc::clone(&state.plan.prefix),
        });
        if !server.is_stepping {
            self.start_step(now, attempt.server);
        }
    }

    fn start_step(&mut self, now: Timestamp, index: usize) {
        let server = &mut self.servers[index];
        let step = server.engine.start_step();
        server.is_stepping = step.is_some();
        match step {
            Some(seconds) => {
                let at = now + Duration::from_secs_f64(seconds);
                self.queue.push(at, BenchEvent::Step { server: index });
            }
            None => server.meter.stop(now),
        }
    }

    pub(super) fn finish_step(&mut self, now: Timestamp, index: usize) {
        if !self.servers[index].is_up {
            return;
        }
        let result = self.servers[index].engine.end_step();
        for token in result.tokens {
            self.deliver_token(now, token);
        }
        self.start_step(now, index);
    }

    fn deliver_token(&mut self, now: Timestamp, token: GeneratedToken) {
        let AttemptState {
            request, attempt, ..
        } = self.attempts[token.attempt_index];
        let entry_host = request % self.entry_hosts.len();
        let state = &mut self.requests[request];
        if let Some(computed_tokens) = token.computed_tokens {
            let cached_tokens = state.prompt_tokens() - computed_tokens;
            self.stats.computed_tokens += u64::from(computed_tokens);
            self.stats.recomputed_tokens += u64::from(computed_tokens.min(state.lost_tokens));
            let started = PlacementEvent::Started {
                attempt,
                computed_tokens,
                cached_tokens,
            };
            let placer = &mut self.entry_hosts[entry_host].placer;
            placer.observe(now, &started);
            placer.observe(now, &PlacementEvent::FirstToken { attempt });
        }
        if state.first_token_at.is_none() {
            state.first_token_at = Some(now);
            self.stats.record_first_token(now - state.arrived_at);
        } else {
            let gap = now - state.last_token_at;
            state.late_gaps += u32::from(gap > self.fleet.token_gap_target);
            self.stats.record_token_gap(gap);
        }
        state.last_token_at = now;
        state.delivered_tokens += 1;
        if token.is_last {
            self.attempts[token.attempt_index].is_active = false;
            self.notify_entry_host(now, request, &PlacementEvent::Ended { attempt });
            let on_target = self.is_on_target(request);
            self.end_request(request, RequestOutcome::Completed { on_target });
        }
    }

    fn is_on_target(&self, request: usize) -> bool {
        let state = &self.requests[request];
        let first_latency = state.time_to_first_token();
        let first_on_target =
            first_latency.is_some_and(|latency| latency <= self.fleet.first_token_target);
        first_on_target && state.meets_gap_target()
    }

    pub(super) fn end_request(&mut self, request: usize, outcome: RequestOutcome) {
        let state = &mut self.requests[request];
        state.has_ended = true;
        self.unfinished_requests -= 1;
        self.stats.record_outcome(state.plan.arrival, outcome);
    }
}
