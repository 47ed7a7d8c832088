//! State of one request while this host relays it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Response, StatusCode};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RequestRefusal};
use teaselglade_request::retry::RetryDecision;
use teaselglade_routing::attempt::{AttemptOutcome, NextStep};
use teaselglade_routing::capacity::{PlacementTerms, RequestRank};
use teaselglade_routing::crash::{RequestHash, RequestSubjects};
use teaselglade_routing::engine::PromptShape;
use teaselglade_routing::rollout::VersionScope;
use teaselglade_routing::share::ShareRequest;
use teaselglade_routing::table::{RouteSpec, ServiceSpec};
use teaselglade_routing::zone::ZoneChoice;

use super::CallerResponse;
use super::header_filter::end_to_end_headers;
use super::response_body::ResponseBody;
use super::server_call::FailedCall;
use crate::journal::{AnswerFields, RequestFields};
use crate::open::RequestKey;
use crate::state::HostState;

/// State of one request while this host relays it.
#[derive(Debug)]
pub(super) struct CallContext {
    pub(super) host: Arc<HostState>,
    /// Id of the caller's attempt.
    pub(super) id: String,
    pub(super) route: RouteSpec,
    /// Hash of the route's name.
    pub(super) route_hash: u64,
    pub(super) service: ServiceSpec,
    pub(super) organisation: Option<String>,
    pub(super) rank: RequestRank,
    /// Data centre chosen for the request, if it matters.
    pub(super) zone_choice: OnceLock<ZoneChoice>,
    /// Version of the route table that the request was matched against.
    pub(super) table_version: u64,
    pub(super) prompt: Option<PromptShape>,
    /// Hash of the request's content.
    pub(super) request_hash: RequestHash,
    /// Id of the last event that the caller already has.
    pub(super) resume_after: Option<u64>,
    pub(super) method: Method,
    /// Path and query of the caller's request.
    pub(super) request_target: PathAndQuery,
    /// End-to-end headers of the caller's request.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) arrived_at: Timestamp,
    /// When the final response is due: the caller's timeout or the route's, whichever is shorter.
    pub(super) deadline: Timestamp,
    /// Key among the open requests.
    pub(super) open_key: RequestKey,
    /// Whether the answer to the caller no longer depends on open attempts.
    pub(super) is_decided: AtomicBool,
}

impl CallContext {
    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.host.now())
    }

    /// Returns the time until the route's latency target has passed.
    pub(super) fn target_time_left(&self) -> Duration {
        (self.arrived_at + self.route.target).since(self.host.now())
    }

    /// Records that the answer to the caller no longer depends on open attempts.
    pub(super) fn decide(&self) {
        self.is_decided.store(true, Ordering::Relaxed);
    }

    /// Returns whether the answer to the caller no longer depends on open attempts.
    ///
    /// Open attempts that are dropped before were left by the caller.
    pub(super) fn is_decided(&self) -> bool {
        self.is_decided.load(Ordering::Relaxed)
    }

    /// Returns the time since the request arrived.
    pub(super) fn elapsed(&self) -> Duration {
        self.host.now().since(self.arrived_at)
    }

    /// Returns the name of the caller's organisation; empty if there is none.
    pub(super) fn organisation_name(&self) -> &str {
        self.organisation.as_deref().unwrap_or_default()
    }

    /// Returns the terms under which an attempt is placed on servers of some versions.
    pub(super) fn placement_terms<'a>(&'a self, versions: VersionScope<'a>) -> PlacementTerms<'a> {
        PlacementTerms {
            zone: &self.host.settings.zone,
            rank: self.rank,
            versions,
            zones: self
                .zone_choice
                .get()
                .map(ZoneChoice::terms)
                .unwrap_or_default(),
            ..PlacementTerms::default()
        }
    }

    /// Returns what the request asks of its service's room.
    pub(super) fn share_request(&self) -> ShareRequest<'_> {
        ShareRequest {
            service: &self.service.name,
            organisation: self.organisation_name(),
            rank: RequestRank::new(self.route.priority),
            work: self.prompt.as_ref().map_or(0.0, PromptShape::work),
        }
    }

    /// Returns the time without an answer from which an attempt that is given up counts as slow.
    pub(super) fn overdue_after(&self) -> Duration {
        self.route.target / 2
    }

    /// Returns what ended servers may speak against.
    pub(super) const fn subjects(&self) -> RequestSubjects<'_> {
        RequestSubjects {
            request: Some(self.request_hash),
            prompt: self.prompt.as_ref(),
        }
    }

    /// Returns the request's fields for log lines.
    pub(super) fn log_fields(&self) -> RequestFields<'_> {
        RequestFields {
            id: &self.id,
            route: &self.route.name,
            organisation: self.organisation.as_deref().unwrap_or_default(),
            table_version: self.table_version,
            elapsed: self.elapsed(),
        }
    }

    /// Refunds the organisation's quota if the request did not run.
    pub(super) fn refund_quota(&self, refusal: &RequestRefusal) {
        if refusal.verdict != ExecutionVerdict::NotRun {
            return;
        }
        if let Some(organisation) = &self.organisation {
            let tokens = self.prompt.as_ref().map(PromptShape::total_tokens);
            self.host
                .lock_decisions()
                .quotas
                .refund(organisation, tokens);
        }
    }

    /// Takes one retry from the service's retry budget; returns the delay before it.
    ///
    /// Returns `None` if the budget denies the retry.
    pub(super) fn take_retry(&self, attempts: u32) -> Option<Duration> {
        let now = self.host.now();
        let service = &self.service.name;
        let decision =
            self.host
                .lock_decisions()
                .request_retry(now, self.deadline, service, attempts);
        match decision {
            RetryDecision::Granted { delay } => Some(delay),
            RetryDecision::Denied { .. } => {
                self.host
                    .update_request(self.open_key, |open| open.give_up("no_retry"));
                None
            }
        }
    }

    /// Logs and counts an attempt that ended without a response, with the name of the next step.
    pub(super) fn record_attempt_end(&self, server_id: &str, failed: &FailedCall, next: &str) {
        let host = &self.host;
        let outcome = outcome_name(failed.outcome);
        let labels = [self.service.name.as_str(), outcome];
        host.metrics.attempts.with_label_values(&labels).inc();
        let failure = failure_name(failed.outcome, self.time_left());
        host.update_request(self.open_key, |open| open.end_attempt(failure));
        let now = host.now();
        host.log
            .attempt_ended(now, &self.id, server_id, outcome, &failed.detail, next);
    }

    /// Builds the caller's response from a server's status, end-to-end headers and a body.
    pub(super) fn forward_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: ResponseBody,
    ) -> CallerResponse {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = end_to_end_headers(headers, self.host.ports.messages.as_ref());
        response
    }

    /// Adds the request, which began to run, to the organisation's usage.
    pub(super) fn count_execution(&self) {
        if let Some(organisation) = &self.organisation {
            let wall_time = HostState::wall_time();
            self.host
                .lock_decisions()
                .usage
                .count(wall_time, organisation);
        }
    }

    /// Logs and counts the end of a response that was forwarded to the caller.
    pub(super) fn record_response(
        &self,
        server_id: &str,
        status: u16,
        outcome: &'static str,
        time_to_first_event: Duration,
    ) {
        let cause = self.end_open_request(outcome);
        let organisation = self.organisation.as_deref().unwrap_or_default();
        let labels = [self.service.name.as_str(), organisation, outcome];
        let metrics = &self.host.metrics;
        metrics.answers.with_label_values(&labels).inc();
        let service = &[self.service.name.as_str()];
        let whole_seconds = metrics.whole_seconds.with_label_values(service);
        whole_seconds.observe(self.elapsed().as_secs_f64());
        let first_seconds = metrics.first_seconds.with_label_values(service);
        first_seconds.observe(time_to_first_event.as_secs_f64());
        let now = self.host.now();
        let answer = AnswerFields {
            server: server_id,
            status,
            outcome,
            cause: cause.as_deref(),
            time_to_first_event,
        };
        self.host.log.answered(now, &self.log_fields(), &answer);
    }

    /// Records the outcome among the open requests; returns the cause if the response was cut.
    fn end_open_request(&self, outcome: &'static str) -> Option<String> {
        let mut cause = None;
        self.host.update_request(self.open_key, |open| {
            if outcome == "server_failed" {
                open.end_attempt(outcome);
            }
            open.end(outcome);
            cause = (outcome == "cut").then(|| open.cut_cause());
        });
        cause
    }
}

/// Returns the name of a failed attempt as the cause of a cut response.
const fn failure_name(outcome: AttemptOutcome, time_left: Duration) -> &'static str {
    match outcome {
        AttemptOutcome::TimedOut if time_left.is_zero() => "deadline",
        AttemptOutcome::TimedOut => "server_silent",
        AttemptOutcome::Unreachable => "server_unreachable",
        AttemptOutcome::Withheld => "quarantined",
        AttemptOutcome::Rejected => "server_rejected",
        AttemptOutcome::Misdirected => "server_misdirected",
        AttemptOutcome::Broken => "server_broke",
        AttemptOutcome::Failed => "server_failed",
        AttemptOutcome::Superseded => "superseded",
    }
}

/// Returns the name of an outcome in log lines and metrics.
const fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Withheld => "withheld",
        AttemptOutcome::Rejected => "rejected",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::Broken => "broken",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::TimedOut => "silent",
        AttemptOutcome::Superseded => "superseded",
    }
}

/// Returns the name of a next step in log lines.
pub(super) const fn next_step_name(step: NextStep) -> &'static str {
    match step {
        NextStep::Reconnect => "reconnect",
        NextStep::RetryWithinBudget => "ask_budget",
        NextStep::GiveUp(ExecutionVerdict::NotRun) => "give_up_not_run",
        NextStep::GiveUp(_) => "give_up_may_have_run",
    }
}
