//! Quotas of organisations, enforced across all hosts.

mod quota_limiter;

pub use quota_limiter::{FleetSpend, PeerSpend, QuotaLimiter, SpendReport};
