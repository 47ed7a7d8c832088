//! Fleet-wide limits from exchanged demand shares.

mod demand_board;
mod demand_meter;
mod limit_id;
mod limit_row;
mod share_limiter;
mod share_message;
mod token_bucket;

pub use demand_board::{DemandBoard, DemandSource};
pub use demand_meter::DemandMeter;
pub use limit_id::{LimitId, LimitMeasure};
pub use limit_row::LimitRow;
pub use share_limiter::{LimitedRequest, ShareLimiter};
pub use share_message::{DemandShare, MAX_SHARES, ShareMessage};
pub use token_bucket::TokenBucket;

use teaselglade_core::verdict::RequestRefusal;

/// Result of a check against the limits.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
