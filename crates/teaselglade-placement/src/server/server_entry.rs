//! One server of the directory.

use super::{LoadEstimate, ServerAttributes};

teaselglade_core::value_type! {
    /// Whether a server takes new work.
    pub enum ServerState {
        /// The server takes new work.
        Live,
        /// The server is leaving; it finishes its work and takes no more.
        Leaving,
        /// The server is gone.
        Gone,
    }
}

/// One server of the directory.
#[derive(Debug, Clone)]
pub struct ServerEntry {
    /// What the host list says.
    pub facts: ServerAttributes,
    /// Whether the server takes new work; it only moves forward.
    pub state: ServerState,
    /// Load as far as it is known here.
    pub load: LoadEstimate,
}
