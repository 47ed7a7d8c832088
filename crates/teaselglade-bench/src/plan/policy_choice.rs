//! Placement policies of a benchmark.

use std::fmt;

use teaselglade_placement::baseline::{LeastLoad, PrefixAffinity, RoundRobin};
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::policy::PlacementPolicy;

teaselglade_core::value_type! {
    /// Placement policy of a benchmark.
    pub enum PolicyChoice {
        /// Servers in rotation.
        RoundRobin,
        /// Server with the fewest requests.
        LeastLoad,
        /// Server that most recently received the prefix.
        PrefixAffinity,
        /// Least expected cost.
        Cost,
        /// Least expected cost, with an admission queue.
        CostWithAdmission,
        /// Least expected cost, assuming equal prices.
        CostWithoutPrices,
        /// Least expected cost, ignoring cached prefixes.
        CostWithoutPrefixes,
        /// Least expected cost, ignoring the risk of reclaims.
        CostWithoutReclaims,
        /// Least expected cost, assuming equal speed of all hardware classes.
        CostWithoutSpeeds,
        /// Least expected cost, including servers predicted to miss the latency targets.
        CostWithoutTargets,
    }
}

impl PolicyChoice {
    /// All policies, with the baselines first.
    pub const ALL: [Self; 10] = [
        Self::RoundRobin,
        Self::LeastLoad,
        Self::PrefixAffinity,
        Self::Cost,
        Self::CostWithAdmission,
        Self::CostWithoutPrices,
        Self::CostWithoutPrefixes,
        Self::CostWithoutReclaims,
        Self::CostWithoutSpeeds,
        Self::CostWithoutTargets,
    ];

    /// Returns whether requests pass through an admission queue.
    #[must_use]
    pub const fn has_admission(self) -> bool {
        matches!(self, Self::CostWithAdmission)
    }

    /// Creates the policy instance of one of `entry_hosts` entry hosts.
    #[must_use]
    pub fn build(self, entry_hosts: u32) -> Box<dyn PlacementPolicy> {
        let mut options = CostOptions {
            entry_hosts,
            ..CostOptions::default()
        };
        match self {
            Self::RoundRobin => return Box::new(RoundRobin::default()),
            Self::LeastLoad => return Box::new(LeastLoad::default()),
            Self::PrefixAffinity => return Box::new(PrefixAffinity::default()),
            Self::Cost | Self::CostWithAdmission => {}
            Self::CostWithoutPrices => options.use_prices = false,
            Self::CostWithoutPrefixes => options.use_prefixes = false,
            Self::CostWithoutReclaims => options.use_reclaims = false,
            Self::CostWithoutSpeeds => options.use_speeds = false,
            Self::CostWithoutTargets => options.use_targets = false,
        }
        Box::new(CostPolicy::new(options))
    }
}

impl fmt::Display for PolicyChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoad => "least load",
            Self::PrefixAffinity => "prefix affinity",
            Self::Cost => "cost",
            Self::CostWithAdmission => "cost, admission",
            Self::CostWithoutPrices => "cost, no prices",
            Self::CostWithoutPrefixes => "cost, no prefixes",
            Self::CostWithoutReclaims => "cost, no reclaims",
            Self::CostWithoutSpeeds => "cost, no speeds",
            Self::CostWithoutTargets => "cost, no targets",
        })
    }
}
