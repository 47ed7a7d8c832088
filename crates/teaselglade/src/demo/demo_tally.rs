//! Counts the results of the demo's callers.

use std::time::Duration;

use hdrhistogram::Histogram;
use teaselglade_core::table::ServiceRow;
use teaselglade_wire::{ErrorBody, Verdict};

use super::DemoSummary;
use crate::caller::{PlainReport, StreamOutcome, StreamReport};

const MAX_LATENCY_MS: u64 = 120_000;
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

/// Counts the results of the demo's callers.
#[derive(Debug)]
pub(super) struct DemoTally {
    summary: DemoSummary,
    complete_streams: u64,
    on_target_streams: u64,
    first_token_ms: Histogram<u64>,
    not_run_keys: Vec<String>,
}

impl DemoTally {
    pub(super) fn new(fleet: &str) -> Self {
        let first_token_ms = Histogram::new_with_max(MAX_LATENCY_MS, HISTOGRAM_SIGNIFICANT_DIGITS);
        Self {
            summary: DemoSummary {
                fleet: fleet.to_owned(),
                ..DemoSummary::default()
            },
            complete_streams: 0,
            on_target_streams: 0,
            first_token_ms: first_token_ms.expect("the bounds of the histogram are valid"),
            not_run_keys: Vec::new(),
        }
    }

    pub(super) const fn record_sent(&mut self) {
        self.summary.sent += 1;
    }

    pub(super) fn record_stream(
        &mut self,
        report: &StreamReport,
        expected: &str,
        service: &ServiceRow,
    ) {
        match &report.outcome {
            StreamOutcome::Refused(refusal) if report.tokens.is_empty() => {
                self.record_refusal(refusal);
            }
            StreamOutcome::Complete(end) => {
                self.summary.accepted += 1;
                self.summary.recomputed_tokens += u64::from(end.recomputed_tokens);
                if report.text() == expected {
                    self.summary.whole += 1;
                } else {
                    self.summary.lost += 1;
                }
                self.record_latency(report, service);
            }
            StreamOutcome::Refused(_) | StreamOutcome::Lost { .. } => {
                self.summary.accepted += 1;
                self.summary.lost += 1;
            }
        }
    }

    pub(super) fn record_keyed_call(&mut self, report: &PlainReport, key: &str) {
        match report {
            PlainReport::Responded { status: 200, .. } => {
                self.summary.accepted += 1;
                self.summary.whole += 1;
            }
            PlainReport::Refused(refusal) => {
                if refusal.verdict == Verdict::NotRun {
                    self.not_run_keys.push(key.to_owned());
                }
                self.record_refusal(refusal);
            }
            PlainReport::Responded { .. } | PlainReport::Lost { .. } => {
                self.summary.accepted += 1;
                self.summary.lost += 1;
            }
        }
    }

    pub(super) const fn summary(&self) -> &DemoSummary {
        &self.summary
    }

    /// Returns the totals; `executions` returns how often the call with a key ran.
    pub(super) fn finish(mut self, executions: impl Fn(&str) -> u32) -> DemoSummary {
        let executed = self.not_run_keys.iter().filter(|key| executions(key) > 0);
        self.summary.false_not_run = executed.count() as u64;
        self.summary.on_target =
            self.on_target_streams as f64 / self.complete_streams.max(1) as f64;
        self.summary.first_token_p50_ms = self.first_token_ms.value_at_quantile(0.5);
        self.summary.first_token_p95_ms = self.first_token_ms.value_at_quantile(0.95);
        self.summary
    }

    fn record_refusal(&mut self, refusal: &ErrorBody) {
        let reason = refusal.reason.clone();
        *self.summary.refusals.entry(reason).or_insert(0) += 1;
        match refusal.verdict {
            Verdict::NotRun => self.summary.refused_not_run += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.summary.may_have_run += 1,
        }
    }

    fn record_latency(&mut self, report: &StreamReport, service: &ServiceRow) {
        let first_token = report.time_to_first_token.unwrap_or(Duration::MAX);
        let gaps = report.tokens.len().saturating_sub(1).max(1) as u32;
        let mean_gap = report.streaming_time.checked_div(gaps).unwrap_or_default();
        let gap_target = service.token_gap_target.unwrap_or(Duration::MAX);
        self.complete_streams += 1;
        if first_token <= service.first_token_target && mean_gap <= gap_target {
            self.on_target_streams += 1;
        }
        let millis = u64::try_from(first_token.as_millis()).unwrap_or(MAX_LATENCY_MS);
        self.first_token_ms.saturating_record(millis);
    }
}
