//! Retry budgets of the services.

mod service_budgets;

pub(crate) use service_budgets::ServiceBudgets;
