//! Roll-outs of a service's version: how much traffic a new version gets, and the verdict on it.
//!
//! Each host bounds what it exposes to the new version by what it sent itself, so that the sum over
//! the fleet holds without coordination. Evidence is summed over hosts; a verdict is final.

mod attempt_evidence;
mod attempt_record;
mod exposure_credit;
mod listed_verdict;
mod old_servers;
mod peer_view;
mod rollout_bounds;
mod rollout_desk;
mod rollout_order;
mod rollout_report;
mod rollout_stage;
mod rollout_view;
mod service_rollout;
mod settled_versions;
mod trial_load;
mod version_evidence;
mod version_load;
mod version_scope;
mod version_test;

pub use attempt_evidence::AttemptEvidence;
pub use attempt_record::AttemptRecord;
pub use exposure_credit::ExposureCredit;
pub use rollout_bounds::RolloutBounds;
pub use rollout_desk::{RolloutChange, RolloutDesk, RolloutStatus};
pub use rollout_order::RolloutOrder;
pub use rollout_report::{OrderReport, RolloutReport};
pub use rollout_stage::RolloutStage;
pub use rollout_view::{FindingView, RolloutView, VersionCounts};
pub use version_evidence::{
    AnswerTally, RouteEvidence, ServerTally, UNLISTED_SERVERS, VersionEvidence,
};
pub use version_scope::{VersionChoice, VersionScope};
pub use version_test::{TestFinding, VersionTest};
