//! Arrivals, the gate and dispatches of a run.

use std::time::Duration;

use teaselglade_core::id::OrganisationKey;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest};
use teaselglade_placement::policy::{
    LatencyForecast, PREFIX_BLOCK_TOKENS, Placement, PlacementEvent, PlacementQuery,
};

use super::bench_event::BenchEvent;
use super::bench_run::BenchRun;
use super::request_state::AttemptState;
use super::server_state::SERVICE;
use crate::report::RequestOutcome;

const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Part of the first-token target for which a request may wait at the gate.
const WAIT_SHARE: f64 = 0.25;
const PUMP_INTERVAL: Duration = Duration::from_millis(10);

impl BenchRun {
    pub(super) fn arrive(&mut self, now: Timestamp, request: usize) {
        let state = &self.requests[request];
        let entry = request % self.entries.len();
        let is_first = state.attempt.number == 1;
        let Some(gate) = self.entries[entry].gate.as_mut().filter(|_| is_first) else {
            self.place(now, request);
            return;
        };
        let target = self.fleet.first_token_target;
        let offer = AdmissionRequest {
            request: state.attempt.request,
            organisation: OrganisationKey::new(state.plan.organisation),
            weight: 1.0,
            tokens: f64::from(state.plan.max_tokens),
            latest_start: now + target.mul_f64(WAIT_SHARE),
        };
        match gate.offer(now, offer) {
            AdmissionDecision::Queued => self.pump(now, entry),
            AdmissionDecision::Refused(_) => self.end_request(request, RequestOutcome::Refused),
        }
    }

    pub(super) fn pump(&mut self, now: Timestamp, entry: usize) {
        self.expire(now, entry);
        while let Some(head) = self.entries[entry]
            .gate
            .as_ref()
            .and_then(AdmissionQueue::head)
        {
            let request = head.request.to_bits() as usize;
            let query = self.query(now, request);
            let placement = self.entries[entry].placement.place(now, &query).ok();
            let is_late = placement.as_ref().is_some_and(|placement| {
                placement.latency_forecast == LatencyForecast::LateUnderLoad
            });
            let state = &mut self.entries[entry];
            let Some(gate) = &mut state.gate else {
                return;
            };
            if is_late {
                gate.hold_head(now);
                if !state.has_pump {
                    state.has_pump = true;
                    self.queue
                        .push(now + PUMP_INTERVAL, BenchEvent::Pump { entry });
                }
                return;
            }
            gate.dispatch_head(now);
            self.dispatch(now, request, query, placement);
        }
    }

    fn expire(&mut self, now: Timestamp, entry: usize) {
        let gate = self.entries[entry].gate.as_mut();
        let given_up = gate.map_or_else(Vec::new, |gate| gate.expire(now));
        for refusal in given_up {
            let request = refusal.request.to_bits() as usize;
            self.end_request(request, RequestOutcome::Refused);
        }
    }

    fn query(&self, now: Timestamp, request: usize) -> PlacementQuery {
        let state = &self.requests[request];
        let prompt_tokens = state.prompt_tokens();
        let blocks = (prompt_tokens / PREFIX_BLOCK_TOKENS) as usize;
        let organisation = OrganisationKey::new(state.plan.organisation);
        let left = (self.fleet.first_token_target).saturating_sub(now - state.arrived);
        let answer_tokens = state.plan.max_tokens.saturating_sub(state.delivered);
        PlacementQuery::new(SERVICE, organisation)
            .prompt(prompt_tokens, &state.plan.prefix[..blocks])
            .answer_tokens(answer_tokens.max(1))
            .targets(left, Some(self.fleet.token_gap_target))
            .cost_weight(self.fleet.cost_weight)
    }

    fn place(&mut self, now: Timestamp, request: usize) {
        let entry = request % self.entries.len();
        let query = self.query(now, request);
        let placement = self.entries[entry].placement.place(now, &query).ok();
        self.dispatch(now, request, query, placement);
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        request: usize,
        query: PlacementQuery,
        placement: Option<Placement>,
    ) {
        let Some(placement) = placement else {
            self.end_request(request, RequestOutcome::Refused);
            return;
        };
        let ticket = self.attempts.len();
        let attempt = self.requests[request].attempt;
        self.attempts.push(AttemptState {
            request,
            attempt,
            server: placement.server.index(),
            is_open: true,
        });
        let dispatched = PlacementEvent::Dispatched {
            attempt,
            server: placement.server,
            prefix: query.prefix,
            prompt_tokens: query.prompt_tokens,
        };
        self.tell(now, request, &dispatched);
        self.queue
            .push(now + NETWORK_DELAY, BenchEvent::Submit { ticket });
    }
}
