//! Plan of a benchmark: the fleet, the policies to compare and the seeds.

use std::time::Duration;

use super::{FleetChoice, FleetPlan, PolicyChoice};

teaselglade_core::value_type! {
    /// Plan of a benchmark: the fleet, the policies to compare and the seeds.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_bench::{BenchPlan, FleetChoice};
    ///
    /// let plan = BenchPlan::new(FleetChoice::Corrib).seeds([6, 7]).load(2.0);
    /// assert_eq!(plan.seeds, [6, 7]);
    /// ```
    pub struct BenchPlan {
        /// Fleet to run.
        pub fleet: FleetChoice,
        /// Policies to compare.
        pub policies: Vec<PolicyChoice>,
        /// Seeds of the runs; the report sums over them.
        pub seeds: Vec<u64>,
        /// Virtual duration of one run.
        pub duration: Duration,
        /// Factor applied to the arrival rate.
        pub load: f64,
        /// Factor applied to the arrival rate during the rush; `None` uses the fleet's value.
        pub rush_factor: Option<f64>,
        /// Requests per conversation; `None` uses the fleet's value.
        pub turns: Option<u32>,
        /// Whether the platform reclaims hosts.
        pub reclaims: bool,
    }
}

impl BenchPlan {
    /// Creates a plan of 15 minutes with all policies and seed 6.
    #[must_use]
    pub fn new(fleet: FleetChoice) -> Self {
        Self {
            fleet,
            policies: PolicyChoice::ALL.to_vec(),
            seeds: vec![6],
            duration: Duration::from_mins(15),
            load: 1.0,
            rush_factor: None,
            turns: None,
            reclaims: true,
        }
    }

    /// Sets the seeds.
    #[must_use]
    pub fn seeds(mut self, seeds: impl Into<Vec<u64>>) -> Self {
        self.seeds = seeds.into();
        self
    }

    /// Sets the policies to compare.
    #[must_use]
    pub fn policies(mut self, policies: impl Into<Vec<PolicyChoice>>) -> Self {
        self.policies = policies.into();
        self
    }

    /// Sets the virtual duration of one run.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the factor applied to the arrival rate.
    #[must_use]
    pub const fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets the factor applied to the arrival rate during the rush.
    #[must_use]
    pub const fn rush_factor(mut self, factor: f64) -> Self {
        self.rush_factor = Some(factor);
        self
    }

    /// Sets the number of requests per conversation.
    #[must_use]
    pub const fn turns(mut self, turns: u32) -> Self {
        self.turns = Some(turns);
        self
    }

    /// Sets whether the platform reclaims hosts.
    #[must_use]
    pub const fn reclaims(mut self, reclaims: bool) -> Self {
        self.reclaims = reclaims;
        self
    }

    pub(crate) fn fleet_plan(&self) -> FleetPlan {
        let mut fleet = self.fleet.plan();
        let traffic = &mut fleet.traffic;
        traffic.rush_factor = self.rush_factor.unwrap_or(traffic.rush_factor);
        traffic.turns = self.turns.unwrap_or(traffic.turns);
        fleet
    }
}
