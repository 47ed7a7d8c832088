//! Explains where a request would go now, without sending it, and how roll-outs stand.

mod explain_error;
mod placement_explainer;
mod placement_query;
mod placement_report;
mod prompt_query;
mod query_limiter;
mod rollout_explainer;
mod rollout_report;

pub use explain_error::ExplainError;
pub use placement_explainer::{PLACEMENT_PATH, explain_placement};
pub use placement_query::PlacementQuery;
pub use placement_report::{FactAges, LeftOutServer, PlacementReport, ServerOption, ZoneDecision};
pub use prompt_query::{PartQuery, PromptQuery};
pub use query_limiter::QueryLimiter;
pub use rollout_explainer::{ROLLOUTS_PATH, explain_rollouts};
pub use rollout_report::{NamedTally, RolloutList, ServiceReport};

/// Result of an explanation.
pub type Result<T> = std::result::Result<T, ExplainError>;
