//! One entry host of a run.

use teaselglade_placement::admission::AdmissionGate;
use teaselglade_placement::policy::ServerPlacement;

use crate::plan::PolicyChoice;

/// One entry host of a run.
#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) placement: ServerPlacement,
    pub(super) gate: Option<AdmissionGate>,
    pub(super) has_pump: bool,
}

impl EntryState {
    pub(super) fn new(policy: PolicyChoice, entry_hosts: u32) -> Self {
        Self {
            placement: ServerPlacement::new(policy.build(entry_hosts)),
            gate: policy.has_admission().then(AdmissionGate::default),
            has_pump: false,
        }
    }
}
