//! Policy of the least expected cost, and the models that it predicts with.

mod cost_options;
mod cost_policy;
mod linear_fit;
mod prefix_index;
mod reclaim_model;
mod server_forecast;
mod speed_model;

pub use cost_options::CostOptions;
pub use cost_policy::CostPolicy;
pub use linear_fit::LinearFit;
pub use prefix_index::PrefixIndex;
pub use reclaim_model::ReclaimModel;
pub use speed_model::{SpeedModel, SpeedSample};
