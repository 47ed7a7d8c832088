//! One request at the gate.

use teaselglade_core::id::{OrganisationKey, RequestId};
use teaselglade_core::time::Timestamp;

/// One request at the gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation that sent it.
    pub organisation: OrganisationKey,
    /// Weight of the organisation's row.
    pub weight: f64,
    /// Work that the request brings, in tokens.
    pub tokens: f64,
    /// Latest time to dispatch it.
    pub latest_start: Timestamp,
}
