//! Routing table: routes, organisations with keys and quotas, and services.

mod organisation_spec;
mod route_spec;
mod route_table;
mod service_spec;
mod table_spec;

pub use organisation_spec::{OrganisationSpec, QuotaSpec, QuotaUnit};
pub use route_spec::{ResponseKind, RetryPolicy, RouteSpec, ServiceShare};
pub use route_table::{Caller, RouteTable};
pub use service_spec::{EngineSpec, ScalingSpec, ServiceSpec};
pub use table_spec::{IngressLimits, TableSpec};
