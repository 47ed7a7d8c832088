//! Steps of a scenario.

mod parser;
mod scenario_step;

pub use parser::parse_scenario;
pub use scenario_step::ScenarioStep;
