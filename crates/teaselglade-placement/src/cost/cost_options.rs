//! Settings of the cost policy.

use std::time::Duration;

/// Settings of the cost policy; each mechanism can be disabled by its flag.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::cost::CostOptions;
///
/// let options = CostOptions { use_prefixes: false, ..CostOptions::default() };
/// assert!(options.use_prices);
/// ```
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag switches one independent mechanism"
)]
pub struct CostOptions {
    /// Whether server prices affect the cost.
    pub use_prices: bool,
    /// Whether cached prefixes affect the predicted latency.
    pub use_prefixes: bool,
    /// Whether the probability of a reclaim affects the score.
    pub use_reclaims: bool,
    /// Whether speeds are estimated per hardware class and server.
    pub use_speeds: bool,
    /// Whether servers that would miss the latency targets are skipped.
    pub use_targets: bool,
    /// Number of entry hosts that dispatch to the same servers, including this one.
    pub entry_hosts: u32,
    /// Fraction of the first-token target that a prediction may use, from 0 to 1.
    pub first_token_margin: f64,
    /// Fraction of the token-gap target that a predicted mean may use, from 0 to 1.
    pub token_gap_margin: f64,
    /// Time for which the fleet keeps an idle host before it releases it.
    pub idle_timeout: Duration,
    /// Weight of losing all of a request's tokens, relative to the cost of the cheapest placement.
    pub loss_weight: f64,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            use_prices: true,
            use_prefixes: true,
            use_reclaims: true,
            use_speeds: true,
            use_targets: true,
            entry_hosts: 1,
            first_token_margin: 0.7,
            token_gap_margin: 0.7,
            idle_timeout: Duration::from_mins(5),
            loss_weight: 1_000.0,
        }
    }
}
