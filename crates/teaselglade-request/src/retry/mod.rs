//! Retry budget of one service at one entry host.

mod budget_limits;
mod fault_scope;
mod retry_budget;
mod retry_decision;

pub use budget_limits::BudgetLimits;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
