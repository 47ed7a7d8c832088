//! Counts what callers saw.

use std::time::Duration;

use hdrhistogram::Histogram;
use teaselglade_core::table::ServiceRow;
use teaselglade_wire::{ErrorBody, Verdict};

use super::DemoSummary;
use crate::caller::{PlainReport, StreamOutcome, StreamReport};

const MOST_MILLIS: u64 = 120_000;
const HISTOGRAM_DIGITS: u8 = 3;

/// Counts what callers saw.
#[derive(Debug)]
pub(super) struct DemoTally {
    summary: DemoSummary,
    streams: u64,
    on_target: u64,
    first_tokens: Histogram<u64>,
    refused_keys: Vec<String>,
}

impl DemoTally {
    pub(super) fn new(fleet: &str) -> Self {
        let first_tokens = Histogram::new_with_max(MOST_MILLIS, HISTOGRAM_DIGITS);
        Self {
            summary: DemoSummary {
                fleet: fleet.to_owned(),
                ..DemoSummary::default()
            },
            streams: 0,
            on_target: 0,
            first_tokens: first_tokens.expect("the bounds of the histogram are valid"),
            refused_keys: Vec::new(),
        }
    }

    pub(super) const fn note_sent(&mut self) {
        self.summary.sent += 1;
    }

    pub(super) fn note_stream(&mut self, report: &StreamReport, expected: &str, row: &ServiceRow) {
        match &report.outcome {
            StreamOutcome::Refused(refusal) if report.tokens.is_empty() => {
                self.note_refusal(refusal);
            }
            StreamOutcome::Whole(end) => {
                self.summary.accepted += 1;
                self.summary.recomputed_tokens += u64::from(end.recomputed_tokens);
                if report.text() == expected {
                    self.summary.whole += 1;
                } else {
                    self.summary.lost += 1;
                }
                self.note_latency(report, row);
            }
            StreamOutcome::Refused(_) | StreamOutcome::Lost { .. } => {
                self.summary.accepted += 1;
                self.summary.lost += 1;
            }
        }
    }

    pub(super) fn note_booking(&mut self, report: &PlainReport, key: &str) {
        match report {
            PlainReport::Answered { status: 200, .. } => {
                self.summary.accepted += 1;
                self.summary.whole += 1;
            }
            PlainReport::Refused(refusal) => {
                if refusal.verdict == Verdict::NotRun {
                    self.refused_keys.push(key.to_owned());
                }
                self.note_refusal(refusal);
            }
            PlainReport::Answered { .. } | PlainReport::Lost { .. } => {
                self.summary.accepted += 1;
                self.summary.lost += 1;
            }
        }
    }

    pub(super) const fn summary(&self) -> &DemoSummary {
        &self.summary
    }

    /// Returns the totals; `executions` says how often a key ran.
    pub(super) fn finish(mut self, executions: impl Fn(&str) -> u32) -> DemoSummary {
        let ran = self.refused_keys.iter().filter(|key| executions(key) > 0);
        self.summary.false_not_run = ran.count() as u64;
        self.summary.on_target = self.on_target as f64 / self.streams.max(1) as f64;
        self.summary.first_token_p50_ms = self.first_tokens.value_at_quantile(0.5);
        self.summary.first_token_p95_ms = self.first_tokens.value_at_quantile(0.95);
        self.summary
    }

    fn note_refusal(&mut self, refusal: &ErrorBody) {
        let reason = refusal.reason.clone();
        *self.summary.refusals.entry(reason).or_insert(0) += 1;
        match refusal.verdict {
            Verdict::NotRun => self.summary.refused_not_run += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.summary.may_have_run += 1,
        }
    }

    fn note_latency(&mut self, report: &StreamReport, row: &ServiceRow) {
        let first = report.first_token.unwrap_or(Duration::MAX);
        let gaps = report.tokens.len().saturating_sub(1).max(1) as u32;
        let mean_gap = report.streaming.checked_div(gaps).unwrap_or_default();
        let gap_target = row.token_gap_target.unwrap_or(Duration::MAX);
        self.streams += 1;
        if first <= row.first_token_target && mean_gap <= gap_target {
            self.on_target += 1;
        }
        let millis = u64::try_from(first.as_millis()).unwrap_or(MOST_MILLIS);
        self.first_tokens.saturating_record(millis);
    }
}
