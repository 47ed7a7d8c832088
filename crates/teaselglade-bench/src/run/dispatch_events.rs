//! Arrivals, admission and dispatches of a run.

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
/// Maximum time in the admission queue, as a fraction of the first-token target.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Interval between dispatch attempts while the head of the queue would be late.
const QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

impl BenchRun {
    pub(super) fn admit(&mut self, now: Timestamp, request: usize) {
        let state = &self.requests[request];
        let entry_host = request % self.entry_hosts.len();
        let is_first = state.attempt.number == 1;
        let Some(admission_queue) = self.entry_hosts[entry_host]
            .admission_queue
            .as_mut()
            .filter(|_| is_first)
        else {
            self.place(now, request);
            return;
        };
        let target = self.fleet.first_token_target;
        let admission_request = AdmissionRequest {
            request: state.attempt.request,
            organisation: OrganisationKey::new(state.plan.organisation),
            weight: 1.0,
            tokens: f64::from(state.plan.max_tokens),
            latest_start: now + target.mul_f64(MAX_WAIT_FRACTION),
        };
        match admission_queue.offer(now, admission_request) {
            AdmissionDecision::Queued => self.dispatch_queued(now, entry_host),
            AdmissionDecision::Refused(_) => self.end_request(request, RequestOutcome::Refused),
        }
    }

    pub(super) fn dispatch_queued(&mut self, now: Timestamp, entry_host: usize) {
        self.refuse_expired(now, entry_host);
        while let Some(head) = self.entry_hosts[entry_host]
            .admission_queue
            .as_ref()
            .and_then(AdmissionQueue::head)
        {
            let request = head.request.to_bits() as usize;
            let query = self.query(now, request);
            let placement = self.entry_hosts[entry_host].placer.place(now, &query).ok();
            let is_late = placement.as_ref().is_some_and(|placement| {
                placement.latency_forecast == LatencyForecast::LateUnderLoad
            });
            let state = &mut self.entry_hosts[entry_host];
            let Some(admission_queue) = &mut state.admission_queue else {
                return;
            };
            if is_late {
                admission_queue.hold_head(now);
                if !state.has_scheduled_dispatch {
                    state.has_scheduled_dispatch = true;
                    self.queue.push(
                        now + QUEUE_RETRY_INTERVAL,
                        BenchEvent::DispatchQueued { entry_host },
                    );
                }
                return;
            }
            admission_queue.dispatch_head(now);
            self.dispatch(now, request, query, placement);
        }
    }

    fn refuse_expired(&mut self, now: Timestamp, entry_host: usize) {
        let admission_queue = self.entry_hosts[entry_host].admission_queue.as_mut();
        let expired_requests = admission_queue.map_or_else(Vec::new, |queue| queue.expire(now));
        for expired in expired_requests {
            let request = expired.request.to_bits() as usize;
            self.end_request(request, RequestOutcome::Refused);
        }
    }

    fn query(&self, now: Timestamp, request: usize) -> PlacementQuery {
        let state = &self.requests[request];
        let prompt_tokens = state.prompt_tokens();
        let blocks = (prompt_tokens / PREFIX_BLOCK_TOKENS) as usize;
        let organisation = OrganisationKey::new(state.plan.organisation);
        let remaining = (self.fleet.first_token_target).saturating_sub(now - state.arrived_at);
        let remaining_tokens = state.plan.max_tokens.saturating_sub(state.delivered_tokens);
        PlacementQuery::new(SERVICE, organisation)
            .prompt(prompt_tokens, &state.plan.prefix[..blocks])
            .answer_tokens(remaining_tokens.max(1))
            .targets(remaining, Some(self.fleet.token_gap_target))
            .cost_weight(self.fleet.cost_weight)
    }

    fn place(&mut self, now: Timestamp, request: usize) {
        let entry_host = request % self.entry_hosts.len();
        let query = self.query(now, request);
        let placement = self.entry_hosts[entry_host].placer.place(now, &query).ok();
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
        let attempt_index = self.attempts.len();
        let attempt = self.requests[request].attempt;
        self.attempts.push(AttemptState {
            request,
            attempt,
            server: placement.server.index(),
            is_active: true,
        });
        let dispatched = PlacementEvent::Dispatched {
            attempt,
            server: placement.server,
            prefix: query.prefix,
            prompt_tokens: query.prompt_tokens,
        };
        self.notify_entry_host(now, request, &dispatched);
        self.queue
            .push(now + NETWORK_DELAY, BenchEvent::Submit { attempt_index });
    }
}
