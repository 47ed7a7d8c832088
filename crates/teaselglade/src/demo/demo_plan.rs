//! What the demo runs.

use std::time::Duration;

use teaselglade_standins::fleet::FleetPlan;

/// What the demo runs.
#[derive(Debug, Clone, PartialEq)]
pub struct DemoPlan {
    /// Fleet to run.
    pub fleet: FleetPlan,
    /// How long callers send requests.
    pub duration: Duration,
    /// Seed of the callers' requests.
    pub seed: u64,
    /// Model requests a second; bookings come at a quarter of the rate.
    pub rate: f64,
    /// Entry daemons.
    pub entries: usize,
    /// Whether to print a line of progress every second.
    pub show_progress: bool,
}
