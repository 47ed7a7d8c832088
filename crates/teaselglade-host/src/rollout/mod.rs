//! Roll-outs of services' versions: reads their evidence, moves them on and reports them.

mod rollout_keeper;

pub use rollout_keeper::keep_rollouts;
pub(crate) use rollout_keeper::leads_rollouts;
