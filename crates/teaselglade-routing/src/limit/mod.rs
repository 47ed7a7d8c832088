//! Limits that servers name: requests a second that each takes from all hosts together.
//!
//! A host that hears a limit sends to the server only with a permit. For each server, one of the
//! first hosts of the fleet issues the permits, so that the sum over all hosts stays below the
//! limit, whichever of them has the callers.

mod limit_change;
mod limit_ledger;
mod limit_notice;
mod limit_word;
mod permit_issuer;
mod permit_message;
mod request_limit;

pub use limit_change::{LimitChange, LimitSource};
pub use limit_ledger::LimitLedger;
pub use limit_notice::{IssuedCount, LimitNotice, LimitReport};
pub use limit_word::LimitWord;
pub use permit_issuer::{IssuerView, PermitIssuer};
pub use permit_message::{PermitAnswer, PermitMessage, PermitRequest};
pub use request_limit::RequestLimit;
