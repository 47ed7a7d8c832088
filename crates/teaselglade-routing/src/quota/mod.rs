//! Quotas of organisations over all hosts together.

mod quota_board;

pub use quota_board::{FleetSpend, PeerSpend, QuotaBoard, SpendReport};
