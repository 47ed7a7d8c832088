//! Bounds on what a version that proves bad may have been sent.

/// Bounds on what a version that proves bad may have been sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Greatest share of a service's requests between an order and its time limit.
    pub exposure_share: f64,
    /// Number of requests beyond that share, of all hosts together.
    pub exposure_slack: f64,
}

impl Default for RolloutBounds {
    /// Returns the bounds for a deployment that sets none: a tenth, and nothing beyond it.
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 0.0,
        }
    }
}
