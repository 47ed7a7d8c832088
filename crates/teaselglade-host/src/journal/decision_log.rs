//! Log of decisions on requests.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RequestRefusal};
use teaselglade_routing::crash::RequestHash;
use teaselglade_routing::speed::SpeedEvidence;
use tracing::info;

use super::{LineBudget, SuppressedLines};
use crate::metrics::HostMetrics;
use crate::open::OpenRequest;

/// Log fields of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestFields<'a> {
    /// Id of the caller's attempt.
    pub id: &'a str,
    /// Name of the route; empty if none matched.
    pub route: &'a str,
    /// Name of the organisation; empty if it is unknown.
    pub organisation: &'a str,
    /// Version of the table by which the request is handled.
    pub table_version: u64,
    /// Time since the request arrived.
    pub elapsed: Duration,
}

/// Log fields of a placement and its inputs.
#[derive(Debug, Clone, Copy)]
pub struct PlacementFields<'a> {
    /// Id of the chosen server.
    pub server: &'a str,
    /// Number of the attempt within the request, from 1.
    pub attempt: u32,
    /// Predicted time to the first event; `None` for plain calls.
    pub predicted: Option<Duration>,
    /// Prompt tokens to prefill.
    pub new_tokens: u32,
    /// Prompt tokens queued ahead of them.
    pub tokens_ahead: u32,
    /// Age of the newest registration data.
    pub update_age: Duration,
    /// Expected time of work on the server, if it proves to differ or states its pace.
    pub speed: Option<SpeedEvidence>,
}

/// Log fields of an attempt that broke before its first event or whole response.
#[derive(Debug, Clone)]
pub struct LostAttemptFields<'a> {
    /// Id of the server.
    pub server: &'a str,
    /// Hash of the request's content, by which its repeats are found.
    pub request: RequestHash,
    /// Ids of the parts of the prompt, without the last.
    pub parts: Vec<u64>,
    /// Streams that this host still has open on the server.
    pub open_streams: u32,
    /// What a new connection to the server showed.
    pub check: &'static str,
}

/// Log fields of a response that has ended.
#[derive(Debug, Clone, Copy)]
pub struct AnswerFields<'a> {
    /// Id of the server.
    pub server: &'a str,
    /// Status of the response.
    pub status: u16,
    /// Whether the response is whole, and how it ended if not.
    pub outcome: &'a str,
    /// Why the response was cut; `None` if it was not.
    pub cause: Option<&'a str>,
    /// Time from the request's arrival to the response or its first event.
    pub time_to_first_event: Duration,
}

/// Writes log lines about decisions on requests, within a line budget.
#[derive(Debug)]
pub struct DecisionLog {
    budget: Mutex<LineBudget>,
}

impl DecisionLog {
    /// Creates a log that writes at most `lines_per_second` lines on average.
    #[must_use]
    pub fn new(lines_per_second: f64) -> Self {
        Self {
            budget: Mutex::new(LineBudget::new(lines_per_second)),
        }
    }

    /// Logs the server on which a request is placed.
    pub fn placed(
        &self,
        now: Timestamp,
        request: &RequestFields<'_>,
        placement: &PlacementFields<'_>,
    ) {
        if !self.allows(now, "placed", request.id) {
            return;
        }
        info!(
            event = "placed",
            id = request.id,
            route = request.route,
            organisation = request.organisation,
            table = request.table_version,
            server = placement.server,
            attempt = placement.attempt,
            predicted_ms = placement.predicted.map(millis),
            new_tokens = placement.new_tokens,
            tokens_ahead = placement.tokens_ahead,
            news_age_ms = millis(placement.update_age),
            time_percent = placement.speed.map(|speed| speed.time_percent),
            pace_age_ms = placement.speed.and_then(|speed| speed.pace_age).map(millis),
        );
    }

    /// Logs how an attempt at a server failed, and the next step.
    pub fn attempt_ended(
        &self,
        now: Timestamp,
        id: &str,
        server: &str,
        outcome: &str,
        detail: &str,
        next: &str,
    ) {
        if self.allows(now, "attempt_ended", id) {
            info!(event = "attempt_ended", id, server, outcome, detail, next);
        }
    }

    /// Logs that a request waited for its turn at limited servers; `server` is empty for any.
    pub fn turn_waited(&self, now: Timestamp, id: &str, server: &str, waited: Duration) {
        if self.allows(now, "turn_waited", id) {
            info!(
                event = "turn_waited",
                id,
                server,
                waited_ms = millis(waited)
            );
        }
    }

    /// Logs an attempt that broke before it brought anything, and whether its server ended.
    pub fn lost_attempt(
        &self,
        now: Timestamp,
        id: &str,
        organisation: &str,
        attempt: &LostAttemptFields<'_>,
    ) {
        if !self.allows(now, "lost_attempt", id) {
            return;
        }
        info!(
            event = "lost_attempt",
            id,
            organisation,
            server = attempt.server,
            request = %attempt.request,
            parts = part_names(&attempt.parts),
            open_streams = attempt.open_streams,
            check = attempt.check,
        );
    }

    /// Logs the refusal of a request.
    pub fn refused(
        &self,
        now: Timestamp,
        request: &RequestFields<'_>,
        status: u16,
        refusal: &RequestRefusal,
    ) {
        if !self.allows(now, "refused", request.id) {
            return;
        }
        info!(
            event = "refused",
            id = request.id,
            route = request.route,
            organisation = request.organisation,
            table = request.table_version,
            status,
            reason = %refusal.reason,
            detail = refusal.detail.as_str(),
            verdict = verdict_name(refusal.verdict),
            retry_after_ms = refusal.retry_after.map(millis),
            elapsed_ms = millis(request.elapsed),
        );
    }

    /// Logs the end of a response, complete or not.
    pub fn answered(&self, now: Timestamp, request: &RequestFields<'_>, answer: &AnswerFields<'_>) {
        if !self.allows(now, "answered", request.id) {
            return;
        }
        info!(
            event = "answered",
            id = request.id,
            route = request.route,
            organisation = request.organisation,
            server = answer.server,
            status = answer.status,
            outcome = answer.outcome,
            cause = answer.cause,
            first_ms = millis(answer.time_to_first_event),
            elapsed_ms = millis(request.elapsed),
        );
    }

    /// Logs a request whose response was dropped before the connection had taken all of it.
    pub fn dropped(
        &self,
        now: Timestamp,
        request: &OpenRequest,
        server: Option<&str>,
        cause: &str,
    ) {
        if !self.allows(now, "request_dropped", &request.id) {
            return;
        }
        info!(
            event = "request_dropped",
            id = request.id,
            route = request.route,
            server,
            stage = request.stage.name(),
            outcome = request.outcome,
            cause,
            elapsed_ms = millis(now.since(request.arrived_at)),
        );
    }

    /// Logs a summary of the lines beyond the budget, if one is due.
    pub fn write_summary(&self, now: Timestamp, metrics: &HostMetrics) {
        let summary = self.lock().take_summary(now);
        write_lines(summary, metrics);
    }

    /// Logs a summary of the lines beyond the budget, and writes every later line.
    pub fn lift_budget(&self, metrics: &HostMetrics) {
        let summary = self.lock().lift();
        write_lines(summary, metrics);
    }

    fn allows(&self, now: Timestamp, cause: &'static str, id: &str) -> bool {
        self.lock().allows(now, cause, id)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LineBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes the summary of lines beyond the budget, by cause.
fn write_lines(summary: BTreeMap<&'static str, SuppressedLines>, metrics: &HostMetrics) {
    for (cause, lines) in summary {
        let dropped = metrics.dropped_lines.with_label_values(&[cause]);
        dropped.inc_by(lines.count);
        let ids = lines.ids.join(" ");
        info!(event = "lines_summed_up", cause, count = lines.count, ids);
    }
}

const fn verdict_name(verdict: ExecutionVerdict) -> &'static str {
    match verdict {
        ExecutionVerdict::NotRun => "not_run",
        ExecutionVerdict::MayHaveRun => "may_have_run",
        ExecutionVerdict::Ran => "ran",
    }
}

/// Returns part ids in hexadecimal, separated by spaces, as requests name them.
fn part_names(parts: &[u64]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    names.join(" ")
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
