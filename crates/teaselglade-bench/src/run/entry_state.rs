//! One entry host of a run.

use teaselglade_placement::admission::AdmissionQueue;
use teaselglade_placement::policy::ServerPlacer;

use crate::plan::PolicyChoice;

/// One entry host of a run.
#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) placement: ServerPlacer,
    pub(super) gate: Option<AdmissionQueue>,
    pub(super) has_pump: bool,
}

impl EntryState {
    pub(super) fn new(policy: PolicyChoice, entry_hosts: u32) -> Self {
        Self {
            placement: ServerPlacer::new(policy.build(entry_hosts)),
            gate: policy.has_admission().then(AdmissionQueue::default),
            has_pump: false,
        }
    }
}
