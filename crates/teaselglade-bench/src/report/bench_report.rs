//! Results of all policies of a plan.

use std::fmt;

use super::{PolicyReport, plot};
use crate::plan::{BenchPlan, PolicyChoice};

teaselglade_core::value_type! {
    /// Results of all policies of a plan; `Display` formats them as a table.
    pub struct BenchReport {
        /// The plan that was run.
        pub plan: BenchPlan,
        /// Results of each policy, in the order of the plan.
        pub policies: Vec<PolicyReport>,
    }
}

impl BenchReport {
    /// Returns the results of a policy.
    #[must_use]
    pub fn policy(&self, policy: PolicyChoice) -> Option<&PolicyReport> {
        self.policies.iter().find(|report| report.policy == policy)
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the report cannot be serialised.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// Draws an SVG of cost, fraction on target and recomputed tokens of each policy.
    ///
    /// # Errors
    ///
    /// Fails if the drawing library fails.
    pub fn to_svg(&self) -> std::result::Result<String, plot::PlotError> {
        plot::draw(self)
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plan = &self.plan;
        writeln!(
            f,
            "{}, seeds {:?}, {} s each, load x{}",
            plan.fleet,
            plan.seeds,
            plan.duration.as_secs(),
            plan.load
        )?;
        writeln!(
            f,
            "{:<18} {:>9} {:>9} {:>9} {:>9} {:>10} {:>8} {:>8} {:>22} {:>22}",
            "policy",
            "on target",
            "ct/1000",
            "busy",
            "all held",
            "recomputed",
            "refused",
            "offered",
            "first p50/95/99 ms",
            "gap p50/95/99 ms"
        )?;
        for report in &self.policies {
            write_row(f, report)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, report: &PolicyReport) -> fmt::Result {
    let first = report.first_token;
    let gap = report.token_gap;
    writeln!(
        f,
        "{:<18} {:>8.2}% {:>9.2} {:>9.2} {:>9.2} {:>10} {:>8} {:>8} {:>22} {:>22}",
        report.policy.to_string(),
        report.on_target_share * 100.0,
        report.cents_per_thousand,
        report.busy_cents_per_thousand,
        report.whole_fleet_cents_per_thousand,
        report.recomputed_tokens,
        report.refused,
        report.offered,
        format!("{:.0}/{:.0}/{:.0}", first.p50, first.p95, first.p99),
        format!("{:.1}/{:.1}/{:.1}", gap.p50, gap.p95, gap.p99),
    )
}
