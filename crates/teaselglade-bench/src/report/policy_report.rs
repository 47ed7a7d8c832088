//! Results of one policy.

use super::{LatencyReport, PolicyStats};
use crate::plan::PolicyChoice;

const THOUSAND: f64 = 1_000.0;

teaselglade_core::value_type! {
    /// Results of one policy.
    pub struct PolicyReport {
        /// The policy.
        pub policy: PolicyChoice,
        /// Requests that were offered, including refused and unfinished ones.
        pub offered: u64,
        /// Fraction of the offered requests that completed within both latency targets.
        pub on_target_share: f64,
        /// Euro cents per 1,000 requests on target, billing hosts until they are released.
        pub cents_per_thousand: f64,
        /// Euro cents per 1,000 requests on target, billing hosts only while they run requests.
        pub busy_cents_per_thousand: f64,
        /// Euro cents per 1,000 requests on target, billing the whole fleet all the time.
        pub whole_fleet_cents_per_thousand: f64,
        /// Prompt tokens that were computed.
        pub computed_tokens: u64,
        /// Tokens that were computed again after a loss.
        pub recomputed_tokens: u64,
        /// Attempts that failed because their host was reclaimed.
        pub lost_attempts: u64,
        /// Requests that were refused.
        pub refused: u64,
        /// Requests that had not ended at the end of the run.
        pub unfinished: u64,
        /// Time from arrival to the first token.
        pub first_token: LatencyReport,
        /// Time between two tokens.
        pub token_gap: LatencyReport,
    }
}

impl PolicyReport {
    /// Computes the results from the counts and latencies of the runs.
    #[must_use]
    pub fn new(policy: PolicyChoice, stats: &PolicyStats) -> Self {
        let per_thousand = |cents: f64| cents / (stats.on_target.max(1) as f64) * THOUSAND;
        let offered = stats.offered + stats.unfinished;
        Self {
            policy,
            offered,
            on_target_share: stats.on_target as f64 / offered.max(1) as f64,
            cents_per_thousand: per_thousand(stats.billed_cents),
            busy_cents_per_thousand: per_thousand(stats.busy_cents),
            whole_fleet_cents_per_thousand: per_thousand(stats.whole_fleet_cents),
            computed_tokens: stats.computed_tokens,
            recomputed_tokens: stats.recomputed_tokens,
            lost_attempts: stats.lost_attempts,
            refused: stats.refused,
            unfinished: stats.unfinished,
            first_token: LatencyReport::new(&stats.first_tokens),
            token_gap: LatencyReport::new(&stats.token_gaps),
        }
    }
}
