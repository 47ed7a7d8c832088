//! Quotas of organisations, enforced across all hosts.

mod quota_limiter;
mod rank_order;

pub use quota_limiter::{FleetSpend, PeerSpend, QuotaLimiter, SpendReport};

use rank_order::RankOrder;
