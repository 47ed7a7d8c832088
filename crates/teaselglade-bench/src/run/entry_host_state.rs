//! State of one entry host of a run.

use teaselglade_placement::admission::AdmissionQueue;
use teaselglade_placement::policy::ServerPlacer;

use crate::plan::PolicyChoice;

/// State of one entry host of a run.
#[derive(Debug)]
pub(super) struct EntryHostState {
    pub(super) placer: ServerPlacer,
    pub(super) admission_queue: Option<AdmissionQueue>,
    pub(super) has_scheduled_dispatch: bool,
}

impl EntryHostState {
    pub(super) fn new(policy: PolicyChoice, entry_hosts: u32) -> Self {
        Self {
            placer: ServerPlacer::new(policy.build(entry_hosts)),
            admission_queue: policy.has_admission().then(AdmissionQueue::default),
            has_scheduled_dispatch: false,
        }
    }
}
