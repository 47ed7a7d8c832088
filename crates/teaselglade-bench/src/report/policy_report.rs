//! Figures of one policy.

use super::{LatencyReport, PolicyTally};
use crate::plan::PolicyChoice;

const THOUSAND: f64 = 1_000.0;

teaselglade_core::value_type! {
    /// Figures of one policy.
    pub struct PolicyReport {
        /// The policy.
        pub policy: PolicyChoice,
        /// Requests that were offered and ended.
        pub offered: u64,
        /// Part of the offered requests with a whole answer within both targets.
        pub on_target_share: f64,
        /// Euro cents for 1,000 requests on target, hosts paid while held.
        pub cents_per_thousand: f64,
        /// Euro cents for 1,000 requests on target, hosts paid while they run requests.
        pub busy_cents_per_thousand: f64,
        /// Euro cents for 1,000 requests on target, the whole fleet paid all the time.
        pub whole_fleet_cents_per_thousand: f64,
        /// Prompt tokens computed.
        pub computed_tokens: u64,
        /// Tokens computed again after a loss.
        pub recomputed_tokens: u64,
        /// Attempts that a reclaim cut.
        pub lost_attempts: u64,
        /// Requests that were refused.
        pub refused: u64,
        /// Requests that had not ended when the run did.
        pub unfinished: u64,
        /// Time from arrival to the first token.
        pub first_token: LatencyReport,
        /// Time between two tokens.
        pub token_gap: LatencyReport,
    }
}

impl PolicyReport {
    /// Works the figures out of the counts.
    #[must_use]
    pub fn new(policy: PolicyChoice, tally: &PolicyTally) -> Self {
        let per_thousand = |cents: f64| cents / (tally.on_target.max(1) as f64) * THOUSAND;
        let offered = tally.offered + tally.unfinished;
        Self {
            policy,
            offered,
            on_target_share: tally.on_target as f64 / offered.max(1) as f64,
            cents_per_thousand: per_thousand(tally.held_cents),
            busy_cents_per_thousand: per_thousand(tally.busy_cents),
            whole_fleet_cents_per_thousand: per_thousand(tally.whole_fleet_cents),
            computed_tokens: tally.computed_tokens,
            recomputed_tokens: tally.recomputed_tokens,
            lost_attempts: tally.lost_attempts,
            refused: tally.refused,
            unfinished: tally.unfinished,
            first_token: LatencyReport::new(&tally.first_tokens),
            token_gap: LatencyReport::new(&tally.gaps),
        }
    }
}
