//! Totals of one demo run.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Totals of one demo run, as counted by callers and backend servers.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DemoSummary {
    /// Name of the fleet.
    pub fleet: String,
    /// Requests sent: streams and keyed calls.
    pub sent: u64,
    /// Requests not refused before their first token.
    pub accepted: u64,
    /// Accepted requests with a complete and correct response.
    pub whole: u64,
    /// Requests refused with the verdict `not_run`.
    pub refused_not_run: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Requests refused with the verdict `may_have_run` or `ran`.
    pub may_have_run: u64,
    /// Accepted requests without a complete and correct response.
    pub lost: u64,
    /// Executions of keyed calls beyond the first of their key.
    pub duplicated_executions: u64,
    /// Keyed calls that ran although they were refused with the verdict `not_run`.
    pub false_not_run: u64,
    /// Hosts reclaimed midway.
    pub reclaimed_hosts: u64,
    /// Hosts started to replace them.
    pub replacement_hosts: u64,
    /// Cost of all backend hosts, in euro cents.
    pub cost_cents: f64,
    /// Tokens recomputed after an attempt was lost.
    pub recomputed_tokens: u64,
    /// Fraction of the complete streams within both latency targets, from 0 to 1.
    pub on_target: f64,
    /// Median time to the first token, in milliseconds.
    pub first_token_p50_ms: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: u64,
}

impl DemoSummary {
    /// Returns whether every guarantee held that the demo checks.
    ///
    /// No accepted request may be lost, no key may run twice, no call refused with `not_run` may
    /// have run, and at least one request must have been accepted.
    #[must_use]
    pub const fn guarantees_held(&self) -> bool {
        self.lost == 0
            && self.duplicated_executions == 0
            && self.false_not_run == 0
            && self.accepted > 0
    }
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "fleet                  {}", self.fleet)?;
        writeln!(f, "sent                   {}", self.sent)?;
        writeln!(f, "accepted               {}", self.accepted)?;
        writeln!(f, "whole                  {}", self.whole)?;
        writeln!(f, "refused, not run       {}", self.refused_not_run)?;
        for (reason, count) in &self.refusals {
            writeln!(f, "  {reason:<20} {count}")?;
        }
        writeln!(f, "may have run           {}", self.may_have_run)?;
        writeln!(f, "lost                   {}", self.lost)?;
        writeln!(f, "duplicated executions  {}", self.duplicated_executions)?;
        writeln!(f, "ran after \"not run\"    {}", self.false_not_run)?;
        writeln!(f, "hosts reclaimed        {}", self.reclaimed_hosts)?;
        writeln!(f, "hosts replacing them   {}", self.replacement_hosts)?;
        writeln!(
            f,
            "cost                   {:.2} euro cents",
            self.cost_cents
        )?;
        writeln!(f, "recomputed tokens      {}", self.recomputed_tokens)?;
        writeln!(f, "streams on target      {:.1} %", self.on_target * 100.0)?;
        write!(
            f,
            "first token            {} ms at p50, {} ms at p95",
            self.first_token_p50_ms, self.first_token_p95_ms
        )
    }
}
