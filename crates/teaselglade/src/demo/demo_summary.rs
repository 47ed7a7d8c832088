//! Totals of one demo.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Totals of one demo, as callers and backend servers saw it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DemoSummary {
    /// Name of the fleet.
    pub fleet: String,
    /// Requests sent, streams and bookings.
    pub sent: u64,
    /// Requests that the system accepted.
    pub accepted: u64,
    /// Accepted requests whose whole, right answer came.
    pub whole: u64,
    /// Requests refused with the verdict "not run".
    pub refused_not_run: u64,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Requests that ended with "may have run".
    pub may_have_run: u64,
    /// Accepted requests without a whole, right answer.
    pub lost: u64,
    /// Executions of bookings beyond the first of their key.
    pub duplicated_executions: u64,
    /// Bookings refused as "not run" that ran nevertheless.
    pub false_not_run: u64,
    /// Hosts taken back midway.
    pub reclaimed_hosts: u64,
    /// Hosts that replaced them.
    pub replacement_hosts: u64,
    /// Cost of all backend hosts, in euro cents.
    pub cost_cents: f64,
    /// Tokens computed again after a loss.
    pub recomputed_tokens: u64,
    /// Part of the streams within both latency targets, from 0 to 1.
    pub on_target: f64,
    /// Time to the first token that half of the streams kept, in milliseconds.
    pub first_token_p50_ms: u64,
    /// Time to the first token that 95 in 100 streams kept, in milliseconds.
    pub first_token_p95_ms: u64,
}

impl DemoSummary {
    /// Returns whether every promise held that the demo looks at.
    #[must_use]
    pub const fn holds(&self) -> bool {
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
