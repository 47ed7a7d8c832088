//! The tool's command line.

mod audit_options;
mod bench_options;
mod demo_options;
mod explain_options;
mod platform_options;
mod quarantine_options;
mod rollouts_options;
mod table_options;
mod tool_options;
mod where_options;

pub use audit_options::AuditOptions;
pub use bench_options::BenchOptions;
pub use demo_options::DemoOptions;
pub use explain_options::ExplainOptions;
pub use platform_options::{HostListOptions, LogOptions};
pub use quarantine_options::{QuarantineCommand, QuarantineHost};
pub use rollouts_options::RolloutsOptions;
pub use table_options::{
    TableCheckOptions, TableCommand, TableHistoryOptions, TablePublishOptions, TableShowOptions,
};
pub use tool_options::{FleetCommand, ToolCommand, ToolOptions};
pub use where_options::WhereOptions;
