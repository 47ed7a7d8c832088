//! Demo that runs a whole fleet in one process, over loopback sockets.

mod demo_callers;
mod demo_fleet;
mod demo_plan;
mod demo_run;
mod demo_summary;
mod demo_tally;

pub use demo_plan::DemoPlan;
pub use demo_run::run_demo;
pub use demo_summary::DemoSummary;
