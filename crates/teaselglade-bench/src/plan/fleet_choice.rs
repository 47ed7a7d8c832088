//! Predefined fleets of a benchmark.

use std::fmt;
use std::str::FromStr;

use super::FleetPlan;

teaselglade_core::value_type! {
    /// Predefined fleet of a benchmark.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_bench::FleetChoice;
    ///
    /// assert_eq!("dragons-sleeve".parse(), Ok(FleetChoice::DragonsSleeve));
    /// ```
    pub enum FleetChoice {
        /// Corrib Bench Services: many short requests.
        Corrib,
        /// Dragon's Sleeve: few requests, some with long outputs.
        DragonsSleeve,
    }
}

impl FleetChoice {
    /// Returns the fleet's plan.
    #[must_use]
    pub fn plan(self) -> FleetPlan {
        match self {
            Self::Corrib => FleetPlan::corrib(),
            Self::DragonsSleeve => FleetPlan::dragons_sleeve(),
        }
    }
}

impl fmt::Display for FleetChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Corrib => "corrib",
            Self::DragonsSleeve => "dragons-sleeve",
        })
    }
}

impl FromStr for FleetChoice {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "corrib" => Ok(Self::Corrib),
            "dragons-sleeve" => Ok(Self::DragonsSleeve),
            _ => Err(format!("`{text}` is neither `corrib` nor `dragons-sleeve`")),
        }
    }
}
