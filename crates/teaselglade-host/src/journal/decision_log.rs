//! Log lines of decisions on requests.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, RequestRefusal};
use tracing::info;

use super::LineBudget;
use crate::metrics::HostMetrics;

/// What is known of a request when its line is written.
#[derive(Debug, Clone, Copy)]
pub struct RequestFields<'a> {
    /// Id of the caller's attempt.
    pub id: &'a str,
    /// Route; empty where none matched.
    pub route: &'a str,
    /// Organisation; empty where none is known.
    pub organisation: &'a str,
    /// Version of the table that the request was judged by.
    pub table_version: u64,
    /// Time since the request arrived.
    pub elapsed: Duration,
}

/// Inputs of a placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementFields<'a> {
    /// Server.
    pub server: &'a str,
    /// Number of the attempt within the request, from 1.
    pub attempt: u32,
    /// Predicted time to the first event; none for plain calls.
    pub predicted: Option<Duration>,
    /// Prompt tokens to read.
    pub new_tokens: u32,
    /// Prompt tokens that wait before them.
    pub tokens_ahead: u32,
    /// Age of the latest news of servers.
    pub update_age: Duration,
}

/// Writes log lines of decisions on requests, within the budget of lines.
#[derive(Debug)]
pub struct DecisionLog {
    budget: Mutex<LineBudget>,
}

impl DecisionLog {
    /// Makes a log that writes this many lines about requests in a second.
    #[must_use]
    pub fn new(lines_per_second: f64) -> Self {
        Self {
            budget: Mutex::new(LineBudget::new(lines_per_second)),
        }
    }

    /// Logs where a request goes.
    pub fn placed(&self, now: Timestamp, line: &RequestFields<'_>, placed: &PlacementFields<'_>) {
        if !self.allows(now, "placed", line.id) {
            return;
        }
        info!(
            event = "placed",
            id = line.id,
            route = line.route,
            organisation = line.organisation,
            table = line.table_version,
            server = placed.server,
            attempt = placed.attempt,
            predicted_ms = placed.predicted.map(millis),
            new_tokens = placed.new_tokens,
            tokens_ahead = placed.tokens_ahead,
            news_age_ms = millis(placed.update_age),
        );
    }

    /// Logs how an attempt at a server ended without an answer, and what follows.
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

    /// Logs a refusal.
    pub fn refused(
        &self,
        now: Timestamp,
        line: &RequestFields<'_>,
        status: u16,
        refusal: &RequestRefusal,
    ) {
        if !self.allows(now, "refused", line.id) {
            return;
        }
        info!(
            event = "refused",
            id = line.id,
            route = line.route,
            organisation = line.organisation,
            table = line.table_version,
            status,
            reason = %refusal.reason,
            detail = refusal.detail.as_str(),
            verdict = verdict_name(refusal.verdict),
            retry_after_ms = refusal.retry_after.map(millis),
            elapsed_ms = millis(line.elapsed),
        );
    }

    /// Logs the end of an answer, whole or not.
    pub fn answered(
        &self,
        now: Timestamp,
        line: &RequestFields<'_>,
        server: &str,
        status: u16,
        outcome: &str,
        first: Duration,
    ) {
        if !self.allows(now, "answered", line.id) {
            return;
        }
        info!(
            event = "answered",
            id = line.id,
            route = line.route,
            organisation = line.organisation,
            server,
            status,
            outcome,
            first_ms = millis(first),
            elapsed_ms = millis(line.elapsed),
        );
    }

    /// Writes the summary of lines beyond the budget, where it is due.
    pub fn write_summary(&self, now: Timestamp, metrics: &HostMetrics) {
        let summary = self.lock().take_summary(now);
        for (cause, lines) in summary {
            let dropped = metrics.dropped_lines.with_label_values(&[cause]);
            dropped.inc_by(lines.count);
            let ids = lines.ids.join(" ");
            info!(event = "lines_summed_up", cause, count = lines.count, ids);
        }
    }

    fn allows(&self, now: Timestamp, cause: &'static str, id: &str) -> bool {
        self.lock().allows(now, cause, id)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LineBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn verdict_name(verdict: ExecutionVerdict) -> &'static str {
    match verdict {
        ExecutionVerdict::NotRun => "not_run",
        ExecutionVerdict::MayHaveRun => "may_have_run",
        ExecutionVerdict::Ran => "ran",
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
