//! Shares of organisations in a service whose room is scarce.
//!
//! Hosts sum up what callers ask of a service, by organisation and rank, and learn from late
//! placements what its servers can do. While more is asked than that, each host admits the same
//! fraction of an organisation's requests, so that no host needs a budget of its own. While room
//! suffices, nothing is refused here.

mod flow_key;
mod max_min;
mod rate_meter;
mod return_schedule;
mod room_estimate;
mod service_share;
mod share_limiter;
mod share_report;

pub use flow_key::FlowKey;
pub use max_min::{ShareClaim, max_min_shares};
pub use room_estimate::{RoomEstimate, RoomSample};
pub use share_limiter::{ServiceRoom, ShareLimiter, ShareRequest, ShareState};
pub use share_report::{FlowDemand, ServiceFlows, ShareReport};

use rate_meter::RateMeter;
use return_schedule::ReturnSchedule;
use service_share::ServiceShare;

/// Outcome of a decision that may refuse a request.
pub type Result<T> = std::result::Result<T, teaselglade_core::verdict::RequestRefusal>;
