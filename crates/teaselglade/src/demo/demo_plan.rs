//! Settings of one demo run.

use std::time::Duration;

use teaselglade_standins::fleet::FleetPlan;

/// Settings of one demo run.
#[derive(Debug, Clone, PartialEq)]
pub struct DemoPlan {
    /// Fleet to run.
    pub fleet: FleetPlan,
    /// How long callers send requests.
    pub duration: Duration,
    /// Seed of the callers' requests.
    pub seed: u64,
    /// Model requests per second; keyed calls to the plain service come at a fifth of this rate.
    pub rate: f64,
    /// Number of entry daemons.
    pub entries: usize,
    /// Whether to print a progress line every second.
    pub show_progress: bool,
}
