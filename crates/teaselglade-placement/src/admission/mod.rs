//! Whether a request is taken in.

mod admission_policy;
mod always_admit;

pub use admission_policy::AdmissionPolicy;
pub use always_admit::AlwaysAdmit;

use teaselglade_core::verdict::RequestRefusal;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, RequestRefusal>;
