//! Engines of a run: attempts, steps and tokens.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_placement::policy::PlacementEvent;

use super::bench_event::BenchEvent;
use super::bench_run::BenchRun;
use super::request_state::AttemptState;
use crate::engine::{EngineWork, TokenMark};
use crate::report::RequestOutcome;

impl BenchRun {
    pub(super) fn submit(&mut self, now: Timestamp, ticket: usize) {
        let attempt = self.attempts[ticket];
        let server = &mut self.servers[attempt.server];
        if !server.is_up {
            self.lose(now, ticket, 0);
            return;
        }
        if server.meter.start(now) {
            server.engine.clear_cache();
        }
        let state = &self.requests[attempt.request];
        server.engine.submit(EngineWork {
            ticket,
            prompt_tokens: state.prompt_tokens(),
            answer_tokens: state.plan.answer_tokens - state.delivered,
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

    pub(super) fn step(&mut self, now: Timestamp, index: usize) {
        if !self.servers[index].is_up {
            return;
        }
        let result = self.servers[index].engine.end_step();
        for token in result.tokens {
            self.deliver(now, token);
        }
        self.start_step(now, index);
    }

    fn deliver(&mut self, now: Timestamp, token: TokenMark) {
        let AttemptState {
            request, attempt, ..
        } = self.attempts[token.ticket];
        let entry = request % self.entries.len();
        let state = &mut self.requests[request];
        if let Some(computed_tokens) = token.computed {
            let cached_tokens = state.prompt_tokens() - computed_tokens;
            self.tally.computed_tokens += u64::from(computed_tokens);
            self.tally.recomputed_tokens += u64::from(computed_tokens.min(state.lost_tokens));
            let started = PlacementEvent::Started {
                attempt,
                computed_tokens,
                cached_tokens,
            };
            let entry = &mut self.entries[entry].placement;
            entry.observe(now, &started);
            entry.observe(now, &PlacementEvent::FirstToken { attempt });
        }
        if state.first.is_none() {
            state.first = Some(now);
            self.tally.add_first_token(now - state.arrived);
        } else {
            let gap = now - state.last;
            state.late_gaps += u32::from(gap > self.fleet.token_gap_target);
            self.tally.add_gap(gap);
        }
        state.last = now;
        state.delivered += 1;
        if token.last {
            self.attempts[token.ticket].is_open = false;
            self.tell(now, request, &PlacementEvent::Ended { attempt });
            let on_target = self.is_on_target(request);
            self.end_request(request, RequestOutcome::Whole { on_target });
        }
    }

    fn is_on_target(&self, request: usize) -> bool {
        let state = &self.requests[request];
        let first = state.first_token();
        let first_on_target = first.is_some_and(|first| first <= self.fleet.first_token_target);
        first_on_target && state.gaps_on_target()
    }

    pub(super) fn end_request(&mut self, request: usize, outcome: RequestOutcome) {
        let state = &mut self.requests[request];
        state.is_over = true;
        self.open_requests -= 1;
        self.tally.add_outcome(state.plan.at, outcome);
    }
}
