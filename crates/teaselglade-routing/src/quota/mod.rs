//! Quotas of organisations over all hosts together.

mod quota_limiter;

pub use quota_limiter::{FleetSpend, PeerSpend, QuotaLimiter, SpendReport};
