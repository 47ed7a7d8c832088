//! Steps of a scenario and their parser.

mod parser;
mod scenario_step;

pub use parser::parse_scenario;
pub use scenario_step::ScenarioStep;
