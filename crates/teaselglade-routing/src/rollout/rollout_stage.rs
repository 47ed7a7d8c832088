//! Stage of an order.

use serde::{Deserialize, Serialize};

/// Stage of an order; hosts that hear of a later stage take it over.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::rollout::RolloutStage;
///
/// assert!(RolloutStage::RolledBack > RolloutStage::Whole);
/// assert!(RolloutStage::Half.traffic_share() > RolloutStage::Quarter.traffic_share());
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub enum RolloutStage {
    /// Each host sends the new version what its own credit allows.
    #[default]
    Trial,
    /// A quarter of the traffic goes to the new version.
    Quarter,
    /// Half of the traffic goes to the new version.
    Half,
    /// All new requests go to the new version, while requests at the old one end.
    Whole,
    /// The old version is no longer used.
    Completed,
    /// The new version is no longer used.
    RolledBack,
}

impl RolloutStage {
    /// Returns whether the stage is a verdict, which nothing changes.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns the share of requests that go to the new version after the trial.
    #[must_use]
    pub const fn traffic_share(self) -> f64 {
        match self {
            Self::Trial | Self::RolledBack => 0.0,
            Self::Quarter => 0.25,
            Self::Half => 0.5,
            Self::Whole | Self::Completed => 1.0,
        }
    }

    /// Returns the name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Quarter => "quarter",
            Self::Half => "half",
            Self::Whole => "whole",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }

    /// Returns the stage that stands for two verdicts or stages of one order.
    ///
    /// A verdict is final: of two, `Completed` stands. Hosts enter it only once the store shows it,
    /// while any host may find a version bad.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        if self == Self::Completed || other == Self::Completed {
            return Self::Completed;
        }
        self.max(other)
    }
}
