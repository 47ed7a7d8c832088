//! One bench: a fleet, the policies to compare, and the seeds.

use std::time::Duration;

use super::{FleetChoice, PolicyChoice};

teaselglade_core::value_type! {
    /// One bench: a fleet, the policies to compare, and the seeds.
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
        /// Seeds; the report sums over them.
        pub seeds: Vec<u64>,
        /// Virtual time of one run.
        pub duration: Duration,
        /// Factor on the offered load.
        pub load: f64,
    }
}

impl BenchPlan {
    /// Makes a plan of a quarter of an hour with all policies and seed 6.
    #[must_use]
    pub fn new(fleet: FleetChoice) -> Self {
        Self {
            fleet,
            policies: PolicyChoice::ALL.to_vec(),
            seeds: vec![6],
            duration: Duration::from_mins(15),
            load: 1.0,
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

    /// Sets the virtual time of one run.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the factor on the offered load.
    #[must_use]
    pub const fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }
}
