//! Request offered to the admission queue.

use teaselglade_core::id::{OrganisationKey, RequestId};
use teaselglade_core::time::Timestamp;

/// Request offered to the admission queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation that sent the request.
    pub organisation: OrganisationKey,
    /// Fair-queueing weight of the organisation, from its table row.
    pub weight: f64,
    /// Work of the request, in tokens.
    pub tokens: f64,
    /// Latest time at which the request may be dispatched.
    pub latest_start: Timestamp,
}
