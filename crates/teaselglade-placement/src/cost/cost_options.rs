//! Settings of the cost policy.

use std::time::Duration;

/// Settings of the cost policy; a mechanism that is switched off is not consulted.
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
    /// Whether prices count.
    pub use_prices: bool,
    /// Whether known prefixes count.
    pub use_prefixes: bool,
    /// Whether the probability of a reclaim counts.
    pub use_reclaims: bool,
    /// Whether speeds are learned for each class and server.
    pub use_speeds: bool,
    /// Whether servers that would miss the targets are passed over.
    pub use_targets: bool,
    /// Entry hosts that dispatch to the same servers, this one included.
    pub entry_hosts: u32,
    /// Part of the first-token target that a prediction may use, from 0 to 1.
    pub first_token_margin: f64,
    /// Part of the token-gap target that a predicted mean may use, from 0 to 1.
    pub token_gap_margin: f64,
    /// How long the fleet holds a host that has nothing to do.
    pub idle_span: Duration,
    /// Weight of a lost answer against the cost of a computed one.
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
            idle_span: Duration::from_mins(5),
            loss_weight: 1_000.0,
        }
    }
}
