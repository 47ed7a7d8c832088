//! What a host that was told to stop still takes on, and until when.

mod shutdown_plan;

pub use shutdown_plan::ShutdownPlan;
