//! One request on its way through this host.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Response, StatusCode};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RequestRefusal};
use teaselglade_request::retry::RetryDecision;
use teaselglade_routing::attempt::{AttemptOutcome, NextStep};
use teaselglade_routing::engine::PromptShape;
use teaselglade_routing::table::{RouteSpec, ServiceSpec};

use super::CallerResponse;
use super::header_filter::passing_headers;
use super::response_body::ResponseBody;
use super::server_call::FailedCall;
use crate::journal::RequestLine;
use crate::state::HostState;

/// One request on its way through this host.
#[derive(Debug)]
pub(super) struct CallContext {
    pub(super) host: Arc<HostState>,
    /// Id of the caller's attempt.
    pub(super) id: String,
    pub(super) route: RouteSpec,
    pub(super) service: ServiceSpec,
    pub(super) organisation: Option<String>,
    /// Version of the table that the request was judged by.
    pub(super) table: u64,
    pub(super) prompt: Option<PromptShape>,
    /// Last event that the caller has.
    pub(super) resume_after: Option<u64>,
    pub(super) method: Method,
    pub(super) target: PathAndQuery,
    /// Headers that pass through.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) arrived: Timestamp,
    /// When the final answer is due: the caller's deadline or the route's timeout.
    pub(super) due: Timestamp,
}

impl CallContext {
    /// Returns the time that is left.
    pub(super) fn left(&self) -> Duration {
        self.due.since(self.host.now())
    }

    /// Returns the time that is left until the answer is late.
    pub(super) fn on_time_left(&self) -> Duration {
        (self.arrived + self.route.target).since(self.host.now())
    }

    /// Returns the time since the request arrived.
    pub(super) fn elapsed(&self) -> Duration {
        self.host.now().since(self.arrived)
    }

    /// Returns what log lines say of the request.
    pub(super) fn line(&self) -> RequestLine<'_> {
        RequestLine {
            id: &self.id,
            route: &self.route.name,
            organisation: self.organisation.as_deref().unwrap_or_default(),
            table: self.table,
            elapsed: self.elapsed(),
        }
    }

    /// Gives back what a request took of its quota that did not run.
    pub(super) fn refund_quota(&self, refusal: &RequestRefusal) {
        if refusal.verdict != ExecutionVerdict::NotRun {
            return;
        }
        if let Some(organisation) = &self.organisation {
            let tokens = self.prompt.as_ref().map(PromptShape::total_tokens);
            self.host.decide().quotas.refund(organisation, tokens);
        }
    }

    /// Asks the service's retry budget for one more attempt; returns the delay before it.
    pub(super) fn ask_retry(&self, attempts: u32) -> Option<Duration> {
        let now = self.host.now();
        let service = &self.service.name;
        let asked = self
            .host
            .decide()
            .ask_retry(now, self.due, service, attempts);
        match asked {
            RetryDecision::Granted { delay } => Some(delay),
            RetryDecision::Denied { .. } => None,
        }
    }

    /// Logs and counts an attempt at a server that ended without an answer, and what follows.
    pub(super) fn note_attempt_ended(&self, server: &str, failed: &FailedCall, next: NextStep) {
        let host = &self.host;
        let outcome = outcome_name(failed.outcome);
        let labels = [self.service.name.as_str(), outcome];
        host.metrics.attempts.with_label_values(&labels).inc();
        let (now, next) = (host.now(), step_name(next));
        host.log
            .attempt_ended(now, &self.id, server, outcome, &failed.detail, next);
    }

    /// Returns the answer that passes a server's whole answer on unchanged.
    pub(super) fn pass_on(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: ResponseBody,
    ) -> CallerResponse {
        let mut answer = Response::new(body);
        *answer.status_mut() = status;
        *answer.headers_mut() = passing_headers(headers, self.host.ports.messages.as_ref());
        answer
    }

    /// Counts that the request began to run.
    pub(super) fn count_run(&self) {
        if let Some(organisation) = &self.organisation {
            let wall = HostState::wall();
            self.host.decide().usage.count(wall, organisation);
        }
    }

    /// Logs and counts the end of an answer that was passed on.
    pub(super) fn note_answered(&self, server: &str, status: u16, outcome: &str, first: Duration) {
        let organisation = self.organisation.as_deref().unwrap_or_default();
        let labels = [self.service.name.as_str(), organisation, outcome];
        let metrics = &self.host.metrics;
        metrics.answers.with_label_values(&labels).inc();
        let service = &[self.service.name.as_str()];
        let whole = metrics.whole_seconds.with_label_values(service);
        whole.observe(self.elapsed().as_secs_f64());
        let first_seconds = metrics.first_seconds.with_label_values(service);
        first_seconds.observe(first.as_secs_f64());
        let now = self.host.now();
        self.host
            .log
            .answered(now, &self.line(), server, status, outcome, first);
    }
}

/// Returns the name of an outcome in log lines and counters.
const fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Rejected => "rejected",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::Broken => "broken",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::TimedOut => "silent",
    }
}

/// Returns the name of a step in log lines.
const fn step_name(step: NextStep) -> &'static str {
    match step {
        NextStep::Reconnect => "reconnect",
        NextStep::RetryWithinBudget => "ask_budget",
        NextStep::GiveUp(ExecutionVerdict::NotRun) => "give_up_not_run",
        NextStep::GiveUp(_) => "give_up_may_have_run",
    }
}
