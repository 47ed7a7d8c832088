//! Fleet-wide rate and concurrency limits, shared out by gossiped demand.

mod demand_message;
mod demand_meter;
mod demand_tracker;
mod limit_id;
mod limit_row;
mod share_limiter;
mod token_bucket;

pub use demand_message::{DemandMessage, LimitDemand, MAX_DEMANDS};
pub use demand_meter::DemandMeter;
pub use demand_tracker::{DemandSource, DemandTracker};
pub use limit_id::{LimitId, LimitMeasure};
pub use limit_row::LimitRow;
pub use share_limiter::{LimitedRequest, ShareLimiter};
pub use token_bucket::TokenBucket;

use teaselglade_core::verdict::RequestRefusal;

/// Result of a check against the limits.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
